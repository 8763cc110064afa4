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
 * Probes one member a period: a ping, then through others, then suspicion (SWIM, section 3). The
 * order is a shuffled round (section 4.3), so that each member is probed once a round by each.
 */
final class Prober {
    /**
     * Periods are drawn from 0.9 to 1.1 of their length, or all that start together probe together.
     */
    private static final double JITTER = 0.1;

    private static final class Probe {
        private final long nonce;
        private final Member target;
        private final long sentAt;
        private final long wallSentAt;
        private final long askAt;
        private int asked;
        private boolean hasAsked;
        private boolean answered;
        private boolean timed;
        private final Set<String> nacks = new HashSet<>();

        Probe(long nonce, Member target, long sentAt, long wallSentAt, long askAt) {
            this.nonce = nonce;
            this.target = target;
            this.sentAt = sentAt;
            this.wallSentAt = wallSentAt;
            this.askAt = askAt;
        }
    }

    private final SwimSettings settings;
    private final MemberTable table;
    private final PacketAssembler mail;
    private final LocalHealthMultiplier doubt;
    private final RandomGenerator random;
    private final LongSupplier wall;
    private final List<String> round = new ArrayList<>();
    private Probe probe;
    private long nextAt = Long.MAX_VALUE;

    Prober(
            SwimSettings settings,
            MemberTable table,
            PacketAssembler mail,
            LocalHealthMultiplier doubt,
            RandomGenerator random,
            LongSupplier wall) {
        this.settings = settings;
        this.table = table;
        this.mail = mail;
        this.doubt = doubt;
        this.random = random;
        this.wall = wall;
    }

    /** The first probe comes within a period, by chance. */
    void start(long t) {
        nextAt = t + random.nextLong(settings.probePeriod());
    }

    void stop() {
        probe = null;
        nextAt = Long.MAX_VALUE;
    }

    /** What is under way proves nothing: this process was away itself. */
    void abandon() {
        probe = null;
    }

    /** One that joins takes part in the present round, at a random place (SWIM, section 4.3). */
    void joined(String name) {
        // One that comes and goes again and again must not fill the round.
        if (round.size() < 2 * table.fleet()) {
            round.add(random.nextInt(round.size() + 1), name);
        }
    }

    long next() {
        return probe != null && !probe.hasAsked && !probe.answered
                ? Math.min(probe.askAt, nextAt)
                : nextAt;
    }

    /**
     * {@code failed} is told of a target that was not heard in time, directly or through others.
     */
    void wake(long t, BiConsumer<Long, String> failed) {
        if (probe != null && !probe.hasAsked && !probe.answered && t >= probe.askAt) {
            askOthers();
        }
        if (t < nextAt) {
            return;
        }
        Probe last = probe;
        probe = null;
        if (last != null && !last.answered) {
            // Lifeguard: that not even those are heard who were asked may be one's own fault.
            doubt.raise(last.asked > 0 ? last.asked - last.nacks.size() : 1);
            failed.accept(t, last.target.name());
        }
        begin(t);
    }

    private void begin(long t) {
        double jitter = 1 - JITTER + 2 * JITTER * random.nextDouble();
        nextAt = t + (long) (doubt.stretched(settings.probePeriod()) * jitter);
        Member target = nextTarget();
        if (target == null) {
            return;
        }
        long askAt = t + (long) (doubt.stretched(settings.pingTimeout()) * jitter);
        probe = new Probe(random.nextLong(), target, t, wall.getAsLong(), askAt);
        // Lifeguard's buddy system: the suspected hears of it in the ping itself.
        mail.send(
                target.address(),
                new Body.Ping(probe.nonce, target.name(), probe.wallSentAt),
                target.health() == Health.ALIVE ? List.of() : List.of(target));
    }

    private Member nextTarget() {
        for (boolean fresh = false; ; fresh = true) {
            while (!round.isEmpty()) {
                Member member = table.get(round.remove(round.size() - 1));
                if (member != null && MemberTable.isPresent(member.health())) {
                    return member;
                }
            }
            if (fresh) {
                return null;
            }
            table.present().forEach(m -> round.add(m.name()));
            Collections.shuffle(round, new Random(random.nextLong()));
        }
    }

    private void askOthers() {
        probe.hasAsked = true;
        Member target = probe.target;
        List<Member> others =
                table.some(
                        settings.indirect(),
                        random,
                        m -> m.health() == Health.ALIVE && !m.name().equals(target.name()));
        probe.asked = others.size();
        for (Member other : others) {
            mail.send(
                    other.address(),
                    new Body.PingRequest(probe.nonce, target.name(), target.address()));
        }
    }

    /**
     * An answer, maybe to the present probe, maybe handed on by another; a sample of a clock if
     * direct.
     */
    void answered(long t, Body.Ack ack, String from, SwimOutput out) {
        if (probe == null
                || ack.nonce() != probe.nonce
                || !probe.target.name().equals(ack.about())) {
            return;
        }
        if (!probe.answered) {
            probe.answered = true;
            doubt.lower();
        }
        if (from.equals(ack.about()) && !probe.timed) {
            probe.timed = true;
            ClockSample.take(probe.sentAt, probe.wallSentAt, t, wall.getAsLong(), ack, out);
        }
    }

    /** Another got no answer so far. */
    void missed(long nonce, String from) {
        if (probe != null && probe.nonce == nonce) {
            probe.nacks.add(from);
        }
    }
}
