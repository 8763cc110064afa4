package loadbalancer.fleet.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Whom to talk to that is not in the fleet as this member sees it: seeds until one has let it join,
 * and for ever now and then a dead one or a seed, or two halves would never meet again.
 */
final class JoinContacts {
    /**
     * First wait for a seed; doubles up to the cap, each drawn from half to one and a half of it.
     */
    private static final long FIRST_WAIT = 1_000_000;

    private static final long LONGEST_WAIT = 30_000_000;

    /** Seeds asked at a time: one is enough, and a newcomer gets the whole from each. */
    private static final int SEEDS_AT_ONCE = 2;

    /** A tenth of what probes cost; 50 members try all of 50 lost ones in 10 s. */
    private static final long PERIOD = 10_000_000;

    private final SwimSettings settings;
    private final MemberTable table;
    private final PacketAssembler mail;
    private final AntiEntropy comparisons;
    private final RandomGenerator random;
    private final LongSupplier wall;
    private long nextAt = Long.MAX_VALUE;
    private long wait = FIRST_WAIT;

    JoinContacts(
            SwimSettings settings,
            MemberTable table,
            PacketAssembler mail,
            AntiEntropy comparisons,
            RandomGenerator random,
            LongSupplier wall) {
        this.settings = settings;
        this.table = table;
        this.mail = mail;
        this.comparisons = comparisons;
        this.random = random;
        this.wall = wall;
    }

    /**
     * A first try at once, but for a tenth of a second by chance, for all may be started by one
     * hand.
     */
    void start(long t) {
        nextAt = t + random.nextLong(FIRST_WAIT / 10);
    }

    void stop() {
        nextAt = Long.MAX_VALUE;
    }

    long next() {
        return nextAt;
    }

    void wake(long t, Member self) {
        if (t < nextAt) {
            return;
        }
        if (table.others() == 0) {
            List<String> seeds = strangers();
            for (int i = 0; i < SEEDS_AT_ONCE && !seeds.isEmpty(); i++) {
                comparisons.beginWhole(seeds.remove(random.nextInt(seeds.size())), List.of(self));
            }
            nextAt = t + jittered(wait);
            wait = Math.min(LONGEST_WAIT, 2 * wait);
        } else {
            wait = FIRST_WAIT;
            nextAt = t + jittered(PERIOD);
            tryOne(self);
        }
    }

    private void tryOne(Member self) {
        List<Member> dead = new ArrayList<>();
        for (MemberTable.Entry entry : table.gone()) {
            if (entry.member().health() == Health.DEAD) {
                dead.add(entry.member());
            }
        }
        List<String> seeds = strangers();
        if (!dead.isEmpty() && (seeds.isEmpty() || random.nextBoolean())) {
            Member member = dead.get(random.nextInt(dead.size()));
            // Told that it is held for dead it says otherwise, in its answer to this ping.
            mail.send(
                    member.address(),
                    new Body.Ping(random.nextLong(), member.name(), wall.getAsLong()),
                    List.of(member, self));
        } else if (!seeds.isEmpty()) {
            comparisons.begin(seeds.get(random.nextInt(seeds.size())), List.of(self));
        }
    }

    /** Seeds that are no address of one that is present. */
    private List<String> strangers() {
        Set<String> known = new HashSet<>();
        known.add(settings.address());
        table.present().forEach(m -> known.add(m.address()));
        List<String> seeds = new ArrayList<>(settings.seeds());
        seeds.removeIf(known::contains);
        return seeds;
    }

    private long jittered(long time) {
        return (long) (time * (0.5 + random.nextDouble()));
    }
}
