package loadbalancer.fleet.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * SWIM's failure detector: probes one member an interval, directly, then indirectly, then reports
 * it as failed (SWIM, section 3). Targets come from a shuffled round (section 4.3), so that each
 * member is probed once a round. For the thread of {@link Swim}; times are microseconds of its
 * monotonic clock.
 */
final class Prober {
    /** Intervals are drawn from 0.9 to 1.1 of their length, to desynchronize members. */
    private static final double JITTER_FRACTION = 0.1;

    private static final class Probe {
        private final long nonce;
        private final Member target;
        private final ClockSample.Instant sentAt;
        private final long indirectAtMicros;
        private int helperCount;
        private boolean isIndirect;
        private boolean isAcked;
        private boolean isClockSampled;
        private final Set<String> nackedBy = new HashSet<>();

        Probe(long nonce, Member target, ClockSample.Instant sentAt, long indirectAtMicros) {
            this.nonce = nonce;
            this.target = target;
            this.sentAt = sentAt;
            this.indirectAtMicros = indirectAtMicros;
        }

        boolean awaitsDirectAck() {
            return !isIndirect && !isAcked;
        }
    }

    private final SwimSettings settings;
    private final MemberTable table;
    private final PacketAssembler packets;
    private final LocalHealthMultiplier localHealth;
    private final RandomGenerator random;
    private final LongSupplier wallClockMicros;
    private final List<String> round = new ArrayList<>();
    private Probe probe;
    private long nextProbeMicros = Long.MAX_VALUE;

    Prober(
            SwimSettings settings,
            MemberTable table,
            PacketAssembler packets,
            LocalHealthMultiplier localHealth,
            RandomGenerator random,
            LongSupplier wallClockMicros) {
        this.settings = settings;
        this.table = table;
        this.packets = packets;
        this.localHealth = localHealth;
        this.random = random;
        this.wallClockMicros = wallClockMicros;
    }

    /** Schedules the first probe at random within an interval. */
    void start(long nowMicros) {
        nextProbeMicros = nowMicros + random.nextLong(settings.probeIntervalMicros());
    }

    void stop() {
        probe = null;
        nextProbeMicros = Long.MAX_VALUE;
    }

    /** Drops the running probe without a result: this process was suspended. */
    void abandonProbe() {
        probe = null;
    }

    /** Adds a joined member to the present round at a random place (SWIM, section 4.3). */
    void onJoin(String name) {
        // A member that joins and leaves repeatedly must not fill the round.
        if (round.size() < 2 * table.presentCount()) {
            round.add(random.nextInt(round.size() + 1), name);
        }
    }

    long nextWakeMicros() {
        return probe != null && probe.awaitsDirectAck()
                ? Math.min(probe.indirectAtMicros, nextProbeMicros)
                : nextProbeMicros;
    }

    /** Does what is due; {@code onFailure} takes the time and the target of a failed probe. */
    void wake(long nowMicros, BiConsumer<Long, String> onFailure) {
        if (probe != null && probe.awaitsDirectAck() && nowMicros >= probe.indirectAtMicros) {
            sendPingRequests();
        }
        if (nowMicros < nextProbeMicros) {
            return;
        }
        Probe last = probe;
        probe = null;
        if (last != null && !last.isAcked) {
            // Lifeguard: missing nacks are a sign that the local process is at fault.
            localHealth.increase(
                    last.helperCount > 0 ? last.helperCount - last.nackedBy.size() : 1);
            onFailure.accept(nowMicros, last.target.name());
        }
        startProbe(nowMicros);
    }

    private void startProbe(long nowMicros) {
        double jitter = 1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random.nextDouble();
        nextProbeMicros =
                nowMicros + (long) (localHealth.scale(settings.probeIntervalMicros()) * jitter);
        Member target = nextTarget();
        if (target == null) {
            return;
        }
        long indirectAtMicros =
                nowMicros + (long) (localHealth.scale(settings.probeTimeoutMicros()) * jitter);
        long nonce = random.nextLong();
        ClockSample.Instant sentAt =
                new ClockSample.Instant(nowMicros, wallClockMicros.getAsLong());
        probe = new Probe(nonce, target, sentAt, indirectAtMicros);
        // Lifeguard's buddy system: a suspect is informed by the ping itself.
        packets.send(
                target.address(),
                new SwimMessage.Ping(nonce, target.name(), sentAt.wallMicros()),
                target.health() == Health.ALIVE ? List.of() : List.of(target));
    }

    private Member nextTarget() {
        Member target = pollRound();
        if (target == null) {
            table.presentPeers().forEach(member -> round.add(member.name()));
            Collections.shuffle(round, new Random(random.nextLong()));
            target = pollRound();
        }
        return target;
    }

    private Member pollRound() {
        while (!round.isEmpty()) {
            Member member = table.get(round.remove(round.size() - 1));
            if (member != null && MemberTable.isPresent(member.health())) {
                return member;
            }
        }
        return null;
    }

    private void sendPingRequests() {
        probe.isIndirect = true;
        Member target = probe.target;
        List<Member> helpers =
                table.sample(
                        settings.indirectProbes(),
                        random,
                        m -> m.health() == Health.ALIVE && !m.name().equals(target.name()));
        probe.helperCount = helpers.size();
        for (Member helper : helpers) {
            packets.send(
                    helper.address(),
                    new SwimMessage.PingRequest(probe.nonce, target.name(), target.address()));
        }
    }

    /** An ack arrived, direct or relayed; a direct one also gives a sample of the clock. */
    void onAck(long nowMicros, SwimMessage.Ack ack, String fromName, SwimOutput output) {
        if (probe == null
                || ack.nonce() != probe.nonce
                || !probe.target.name().equals(ack.target())) {
            return;
        }
        if (!probe.isAcked) {
            probe.isAcked = true;
            localHealth.onProbeAcked();
        }
        if (fromName.equals(ack.target()) && !probe.isClockSampled) {
            probe.isClockSampled = true;
            ClockSample.report(
                    probe.sentAt,
                    new ClockSample.Instant(nowMicros, wallClockMicros.getAsLong()),
                    ack,
                    output);
        }
    }

    /** A member that was asked to ping the target has no ack so far. */
    void onNack(long nonce, String fromName) {
        if (probe != null && probe.nonce == nonce) {
            probe.nackedBy.add(fromName);
        }
    }
}
