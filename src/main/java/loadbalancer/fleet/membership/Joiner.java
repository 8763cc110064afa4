package loadbalancer.fleet.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Joins the fleet through seeds, with exponential backoff until one replies. Afterwards it
 * periodically contacts a dead member or an absent seed, so that both sides of a healed partition
 * merge (Serf's reconnect). For the thread of {@link Swim}; times are microseconds of its monotonic
 * clock.
 */
final class Joiner {
    /** The backoff doubles from this up to the maximum, with a jitter of plus or minus half. */
    private static final long FIRST_BACKOFF_MICROS = 1_000_000;

    private static final long MAX_BACKOFF_MICROS = 30_000_000;

    /** Two seeds, in case one is down; not more, since each sends its whole table. */
    private static final int SEEDS_PER_ATTEMPT = 2;

    /** Long enough that reconnects are a small fraction of the probe traffic. */
    private static final long RECONNECT_INTERVAL_MICROS = 10_000_000;

    private final SwimSettings settings;
    private final MemberTable table;
    private final PacketAssembler packets;
    private final AntiEntropy antiEntropy;
    private final RandomGenerator random;
    private final LongSupplier wallClockMicros;
    private long nextAttemptMicros = Long.MAX_VALUE;
    private long backoffMicros = FIRST_BACKOFF_MICROS;

    Joiner(
            SwimSettings settings,
            MemberTable table,
            PacketAssembler packets,
            AntiEntropy antiEntropy,
            RandomGenerator random,
            LongSupplier wallClockMicros) {
        this.settings = settings;
        this.table = table;
        this.packets = packets;
        this.antiEntropy = antiEntropy;
        this.random = random;
        this.wallClockMicros = wallClockMicros;
    }

    /** Schedules the first attempt within 0.1 s, at random: all members may start together. */
    void start(long nowMicros) {
        nextAttemptMicros = nowMicros + random.nextLong(FIRST_BACKOFF_MICROS / 10);
    }

    void stop() {
        nextAttemptMicros = Long.MAX_VALUE;
    }

    long nextWakeMicros() {
        return nextAttemptMicros;
    }

    void wake(long nowMicros, Member self) {
        if (nowMicros < nextAttemptMicros) {
            return;
        }
        if (table.presentPeerCount() == 0) {
            joinThroughSeeds(self);
            nextAttemptMicros = nowMicros + withJitter(backoffMicros);
            backoffMicros = Math.min(MAX_BACKOFF_MICROS, 2 * backoffMicros);
        } else {
            backoffMicros = FIRST_BACKOFF_MICROS;
            nextAttemptMicros = nowMicros + withJitter(RECONNECT_INTERVAL_MICROS);
            reconnect(self);
        }
    }

    private void joinThroughSeeds(Member self) {
        List<String> seeds = absentSeeds();
        for (int i = 0; i < SEEDS_PER_ATTEMPT && !seeds.isEmpty(); i++) {
            antiEntropy.compareAll(seeds.remove(random.nextInt(seeds.size())), List.of(self));
        }
    }

    private void reconnect(Member self) {
        List<Member> dead = new ArrayList<>();
        for (MemberTable.Entry entry : table.absentEntries()) {
            if (entry.member().health() == Health.DEAD) {
                dead.add(entry.member());
            }
        }
        List<String> seeds = absentSeeds();
        if (!dead.isEmpty() && (seeds.isEmpty() || random.nextBoolean())) {
            Member member = dead.get(random.nextInt(dead.size()));
            // The update that states its death makes the member refute it in its ack.
            packets.send(
                    member.address(),
                    new SwimMessage.Ping(
                            random.nextLong(), member.name(), wallClockMicros.getAsLong()),
                    List.of(member, self));
        } else if (!seeds.isEmpty()) {
            antiEntropy.compareGroup(seeds.get(random.nextInt(seeds.size())), List.of(self));
        }
    }

    /** Returns the seeds that are not the address of a present member. */
    private List<String> absentSeeds() {
        Set<String> presentAddresses = new HashSet<>();
        presentAddresses.add(settings.address());
        table.presentPeers().forEach(m -> presentAddresses.add(m.address()));
        List<String> seeds = new ArrayList<>(settings.seeds());
        seeds.removeIf(presentAddresses::contains);
        return seeds;
    }

    private long withJitter(long micros) {
        return (long) (micros * (0.5 + random.nextDouble()));
    }
}
