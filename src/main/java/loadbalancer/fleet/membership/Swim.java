package loadbalancer.fleet.membership;

import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * One member of the fleet: SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard
 * (Dadgar, Phillips, Currey 2018).
 *
 * <p>Times are microseconds of a monotonic clock, unless a name says wall clock. All calls come
 * from one thread; after each, {@link #nextWakeMicros} says when the next {@link #wake} is wanted.
 * A call that comes much later means that this process was suspended: the time that passed is not
 * counted, and the local health score rises.
 */
public final class Swim implements Membership {
    /** A call that is late by this part of the probe timeout is a sign of a starved process. */
    private static final int LATENESS_DIVISOR = 5;

    /** What a suspension adds to the local health score. */
    private static final int SUSPENSION_SCORE = LocalHealthMultiplier.MAX_SCORE / 2;

    /** How often expired members are looked for. */
    private static final long EXPIRY_CHECK_MICROS = 1_000_000;

    /** Members that collect confirmations of a suspicion; one is present even if two are dead. */
    private static final int CONFIRMATION_COLLECTORS = 3;

    /** Gossip rounds that are sent at once on leaving: there may be no time for more. */
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
     * @param incarnation the last one that was stored for this name, 0 if none
     * @param bootId drawn by this process at its start
     * @param wallClockMicros the wall clock in microseconds, for samples of others' clocks only
     * @throws IllegalArgumentException if the incarnation is out of range
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
                    "the member's incarnation " + incarnation + " is out of range");
        }
        return new Member(
                settings.name(),
                settings.address(),
                settings.zone(),
                incarnation + 1,
                bootId,
                Health.ALIVE);
    }

    /** Starts to join through the seeds and to probe. */
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

    /** Handles a packet of that process; throws nothing, whatever the packet holds. */
    public void received(
            long nowMicros, Packet packet, String fromName, String fromAddress, long fromBootId) {
        PacketReceiver.Sender sender = new PacketReceiver.Sender(fromName, fromAddress, fromBootId);
        if (clock != null && receiver.isAcceptable(packet, sender)) {
            receiver.receive(adjustClock(nowMicros), packet, sender);
            clock.expectCall(nextEventMicros());
        }
    }

    /** Does what is due. */
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

    /** Suspects the member, and informs those that collect confirmations. */
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

    /** When {@link #wake} is wanted, in microseconds; may lie in the past. */
    public long nextWakeMicros() {
        return clock == null ? Long.MAX_VALUE : clock.expectCall(nextEventMicros());
    }

    /** Announces that this member leaves. It still acks pings and gossips while it is called. */
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

    /** How many other members have that health. */
    public long countPeers(Health health) {
        return table.members().stream()
                .filter(m -> m.health() == health && !m.name().equals(settings.name()))
                .count();
    }

    /** Updates that were invalid, or about members beyond the bound, since the start. */
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
