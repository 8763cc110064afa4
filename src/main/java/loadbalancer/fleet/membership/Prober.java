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
 * SWIM's failure detector: probes one member per interval, first directly, then indirectly, and
 * reports it as failed if neither is acked (SWIM, section 3). Targets come from a shuffled round
 * (section 4.3), so that each member is probed once per round. For the thread of {@link Swim};
 * times are microseconds of its monotonic clock.
 */
final class Prober {
    /** Intervals vary between 0.9 and 1.1 of their length, to desynchronize members. */
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

    /** Schedules the first probe at a random time within the first interval. */
    void start(long nowMicros) {
        nextProbeMicros = nowMicros + random.nextLong(settings.probeIntervalMicros());
    }

    void stop() {
        probe = null;
        nextProbeMicros = Long.MAX_VALUE;
    }

    /** Abandons the running probe without a result, after this process was suspended. */
    void abandonProbe() {
        probe = null;
    }

    /** Inserts a joined member at a random place of the current round (SWIM, section 4.3). */
    void onJoin(String name) {
        // Bounds the round against a member that joins and leaves repeatedly.
        if (round.size() < 2 * table.presentCount()) {
            round.add(random.nextInt(round.size() + 1), name);
        }
    }

    long nextWakeMicros() {
        return probe != null && probe.awaitsDirectAck()
                ? Math.min(probe.indirectAtMicros, nextProbeMicros)
                : nextProbeMicros;
    }

    /**
     * Sends the probes and ping requests that are due.
     *
     * @param onFailure receives the time and the target's name of a failed probe
     */
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
            // Lifeguard: missing nacks indicate that the local process is at fault.
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
        // Lifeguard's buddy system: the ping itself informs a suspect of the suspicion.
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

    /** Handles a direct or relayed ack; a direct one also provides a clock sample. */
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

    /** Records that a member which was requested to ping the target has received no ack. */
    void onNack(long nonce, String fromName) {
        if (probe != null && probe.nonce == nonce) {
            probe.nackedBy.add(fromName);
        }
    }
}
