package loadbalancer.fleet.membership;

import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * One member of the fleet, running SWIM (Das, Gupta, Motivala 2002) with the extensions of
 * Lifeguard (Dadgar, Phillips, Currey 2018).
 *
 * <p>Times are microseconds of a monotonic clock, unless a name contains "wall". All calls come
 * from one thread; after each call {@link #nextWakeMicros} returns when to call {@link #wake} next.
 * If that call comes much later, this process was suspended: the time that passed is not counted,
 * and the local health score rises.
 */
public final class Swim implements Membership {
    /**
     * A call that is late by more than the probe timeout divided by this indicates that the process
     * lacks processor time.
     */
    private static final int LATENESS_DIVISOR = 5;

    /** Increase of the local health score after a suspension. */
    private static final int SUSPENSION_SCORE = LocalHealthMultiplier.MAX_SCORE / 2;

    /** Interval between checks for expired members. */
    private static final long EXPIRY_CHECK_MICROS = 1_000_000;

    /** Number of members that collect confirmations of a suspicion: tolerates that two are dead. */
    private static final int CONFIRMATION_COLLECTORS = 3;

    /** Gossip rounds that are sent immediately on leaving, since the process may exit soon. */
    private static final int ROUNDS_ON_LEAVE = 3;

    private final SwimSettings settings;
    private final RandomGenerator random;
    private final LocalHealthMultiplier localHealth;
    private final UpdateQueue updates;
    private final MemberTable table;
    private final LocalMember localMember;
    private final UpdateProcessor processor;
    private final PacketAssembler packets;
    private final Prober prober;
    private final IndirectPingRelay pingRelay;
    private final AntiEntropy antiEntropy;
    private final Joiner joiner;
    private final PacketReceiver receiver;
    private SuspendAwareClock clock;
    private long nextGossipMicros = Long.MIN_VALUE;
    private long nextExpiryCheckMicros;

    /**
     * Creates a member that is not started yet.
     *
     * @param incarnation the last incarnation that was stored for this name, 0 if none
     * @param bootId a random number that this process drew at its start
     * @param wallClockMicros the wall clock in microseconds, used only for clock samples
     * @throws IllegalArgumentException if the incarnation is negative or too high
     */
    public Swim(
            SwimSettings settings,
            long incarnation,
            long bootId,
            RandomGenerator random,
            LongSupplier wallClockMicros,
            SwimOutput output) {
        this.settings = settings;
        this.random = random;
        SwimComponents components =
                new SwimComponents(
                        settings,
                        firstStatement(settings, incarnation, bootId),
                        random,
                        wallClockMicros,
                        output);
        localHealth = components.localHealth;
        updates = components.updates;
        table = components.table;
        localMember = components.localMember;
        processor = components.processor;
        packets = components.packets;
        prober = components.prober;
        pingRelay = components.pingRelay;
        antiEntropy = components.antiEntropy;
        joiner = components.joiner;
        receiver = new PacketReceiver(settings.name(), components, wallClockMicros, output);
    }

    private static Member firstStatement(SwimSettings settings, long incarnation, long bootId) {
        if (incarnation < 0 || incarnation >= MemberPrecedence.MAX_INCARNATION) {
            throw new IllegalArgumentException(
                    "fleet member: incarnation " + incarnation + " is not between 0 and 2^62 - 1");
        }
        return new Member(
                settings.name(),
                settings.address(),
                settings.zone(),
                incarnation + 1,
                bootId,
                Health.ALIVE);
    }

    /** Starts to join the fleet through the seeds and to probe members. */
    public void start(long nowMicros) {
        clock =
                new SuspendAwareClock(
                        nowMicros,
                        settings.probeIntervalMicros() / 2,
                        2 * settings.probeTimeoutMicros());
        nextExpiryCheckMicros = nowMicros + EXPIRY_CHECK_MICROS;
        processor.publishLocalMember(nowMicros, null);
        prober.start(nowMicros);
        antiEntropy.start(nowMicros);
        joiner.start(nowMicros);
        clock.expectCall(nextEventMicros());
    }

    /** Handles a packet; ignores an invalid one instead of throwing. */
    public void received(
            long nowMicros, Packet packet, String fromName, String fromAddress, long fromBootId) {
        PacketReceiver.Sender sender = new PacketReceiver.Sender(fromName, fromAddress, fromBootId);
        if (clock != null && receiver.isAcceptable(packet, sender)) {
            receiver.receive(adjustClock(nowMicros), packet, sender);
            clock.expectCall(nextEventMicros());
        }
    }

    /** Runs the timers that are due. */
    public void wake(long nowMicros) {
        if (clock == null) {
            return;
        }
        if (clock.latenessMicros(nowMicros) > settings.probeTimeoutMicros() / LATENESS_DIVISOR) {
            localHealth.increase(1);
        }
        long adjustedMicros = adjustClock(nowMicros);
        pingRelay.wake(adjustedMicros);
        prober.wake(adjustedMicros, this::onProbeFailure);
        processor.wake(adjustedMicros);
        antiEntropy.wake(adjustedMicros);
        joiner.wake(adjustedMicros, localMember.member());
        if (!updates.isEmpty() && adjustedMicros >= nextGossipMicros) {
            nextGossipMicros = adjustedMicros + settings.gossipIntervalMicros();
            gossip(settings.gossipFanout());
        }
        if (adjustedMicros >= nextExpiryCheckMicros) {
            nextExpiryCheckMicros = adjustedMicros + EXPIRY_CHECK_MICROS;
            processor.removeExpired(adjustedMicros);
        }
        clock.expectCall(nextEventMicros());
    }

    private long adjustClock(long nowMicros) {
        if (clock.skipSuspension(nowMicros)) {
            localHealth.increase(SUSPENSION_SCORE);
            prober.abandonProbe();
        }
        return clock.adjust(nowMicros);
    }

    /** Marks the member as suspected and informs the collectors of confirmations. */
    private void onProbeFailure(long adjustedMicros, String name) {
        processor.suspect(adjustedMicros, name);
        Member suspect = table.get(name);
        for (Member collector : table.confirmationCollectors(name, CONFIRMATION_COLLECTORS)) {
            packets.send(
                    collector.address(),
                    new SwimMessage.Nack(SwimMessage.Nack.SUSPICION_NONCE, name),
                    List.of(suspect));
        }
    }

    private void gossip(int peerCount) {
        for (Member member : table.sample(peerCount, random, m -> true)) {
            if (!updates.isEmpty()) {
                packets.send(member.address(), new SwimMessage.Gossip());
            }
        }
    }

    private long nextEventMicros() {
        long next = Math.min(prober.nextWakeMicros(), pingRelay.nextWakeMicros());
        next = Math.min(next, Math.min(processor.nextWakeMicros(), nextExpiryCheckMicros));
        next = Math.min(next, antiEntropy.nextWakeMicros());
        next = Math.min(next, joiner.nextWakeMicros());
        boolean mustGossip = !updates.isEmpty() && table.presentPeerCount() > 0;
        return mustGossip ? Math.min(next, nextGossipMicros) : next;
    }

    /** Returns when to call {@link #wake} next, in microseconds; may be in the past. */
    public long nextWakeMicros() {
        return clock == null ? Long.MAX_VALUE : clock.expectCall(nextEventMicros());
    }

    /**
     * Announces that this member leaves. It still acks pings and gossips as long as its methods are
     * called.
     */
    public void leave(long nowMicros) {
        if (clock == null || localMember.hasLeft()) {
            return;
        }
        long adjustedMicros = adjustClock(nowMicros);
        Member before = localMember.member();
        localMember.leave();
        processor.publishLocalMember(adjustedMicros, before);
        prober.stop();
        antiEntropy.stop();
        joiner.stop();
        gossip(ROUNDS_ON_LEAVE * settings.gossipFanout());
        clock.expectCall(nextEventMicros());
    }

    /** Returns the number of other members with that health. */
    public long countPeers(Health health) {
        return table.members().stream()
                .filter(m -> m.health() == health && !m.name().equals(settings.name()))
                .count();
    }

    /** Returns how many updates were invalid or named new members while the table was full. */
    public long ignoredUpdateCount() {
        return processor.ignoredCount();
    }

    @Override
    public Member self() {
        return localMember.member();
    }

    @Override
    public Collection<Member> members() {
        return table.members();
    }

    @Override
    public Member member(String name) {
        return table.get(name);
    }

    @Override
    public boolean hasNameConflict(String name) {
        return processor.hasNameConflict(name);
    }

    @Override
    public int localHealthScore() {
        return localHealth.score();
    }
}
