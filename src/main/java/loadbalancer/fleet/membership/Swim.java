package loadbalancer.fleet.membership;

import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * One member of the fleet: SWIM (Das, Gupta, Motivala 2002) with the additions of Lifeguard
 * (Dadgar, Phillips, Currey 2018). Times are microseconds of a clock that only advances. All calls
 * come from one thread; after each, {@link #nextWake} says when the next {@link #wake} is wanted. A
 * call that comes much later means that this process was stopped: then the time that passed counts
 * for nothing and it doubts itself.
 */
public final class Swim implements Membership {
    /** A call that comes so late is a sign of a starved process: a fifth of a ping's time-out. */
    private static final int LATE_PART = 5;

    /** What being stopped adds to the doubt: half of the most there is. */
    private static final int STOPPED_DOUBT = LocalHealthMultiplier.MOST / 2;

    /** Statements read from one packet: twice what one of ours holds, for programs to come. */
    private static final int MOST_READ = 2 * PacketAssembler.MOST_RUMOURS;

    /**
     * How often old ones are looked for; a hundredth of the shortest time after which they are
     * dropped.
     */
    private static final long SWEEP_PERIOD = 1_000_000;

    /**
     * Between answers of two machines under one name, in periods: a rumour gets round meanwhile.
     */
    private static final int REST = 2;

    /** Who hears of those that don't answer; one of three is there even if two are dead as well. */
    private static final int WITNESSES = 3;

    /** One that leaves tells so many at once, in rounds of gossip: it may have no time for more. */
    private static final int LAST_ROUNDS = 3;

    private final SwimSettings settings;
    private final RandomGenerator random;
    private final LongSupplier wall;
    private final SwimOutput out;
    private final LocalHealthMultiplier doubt = new LocalHealthMultiplier();
    private final GossipQueue rumours;
    private final MemberTable table;
    private final OwnStatement own;
    private final MembershipView view;
    private final PacketAssembler mail;
    private final Prober prober;
    private final IndirectProbes relays;
    private final AntiEntropy comparisons;
    private final JoinContacts contacts;
    private UninterruptedTime time;
    private long gossipAt = Long.MIN_VALUE;
    private long sweepAt;

    /**
     * Not started yet.
     *
     * @param incarnation the last one that was kept of this name, 0 if none: it begins above
     * @param boot drawn by this process at its start
     * @param wall the wall clock in microseconds, for samples of others' clocks only
     */
    public Swim(
            SwimSettings settings,
            long incarnation,
            long boot,
            RandomGenerator random,
            LongSupplier wall,
            SwimOutput out) {
        if (incarnation < 0 || incarnation >= MemberRules.MOST_INCARNATION) {
            throw new IllegalArgumentException(
                    "the member's incarnation " + incarnation + " can't be");
        }
        this.settings = settings;
        this.random = random;
        this.wall = wall;
        this.out = out;
        rumours = new GossipQueue(settings.name());
        table = new MemberTable(settings.name(), settings.mostMembers());
        Member self =
                new Member(
                        settings.name(),
                        settings.address(),
                        settings.zone(),
                        incarnation + 1,
                        boot,
                        Health.ALIVE);
        own = new OwnStatement(self, doubt, REST * settings.probePeriod());
        mail = new PacketAssembler(settings.address(), table, rumours, out);
        prober = new Prober(settings, table, mail, doubt, random, wall);
        view = new MembershipView(settings, out, table, rumours, own, prober::joined);
        relays = new IndirectProbes(settings, table, mail, random, wall);
        comparisons = new AntiEntropy(table, mail, random, out);
        contacts = new JoinContacts(settings, table, mail, comparisons, random, wall);
        table.put(0, self);
    }

    /** Begins to join through the seeds and to probe. */
    public void start(long now) {
        time = new UninterruptedTime(now, settings.probePeriod() / 2, 2 * settings.pingTimeout());
        sweepAt = now + SWEEP_PERIOD;
        view.state(now, null);
        prober.start(now);
        comparisons.start(now);
        contacts.start(now);
        time.expect(next());
    }

    /** A packet of that process has come; whatever it holds, nothing is thrown. */
    public void received(
            long now, Packet packet, String fromName, String fromAddress, long fromBoot) {
        if (time == null
                || packet == null
                || packet.body() == null
                || fromName == null
                || fromBoot == own.member().boot()
                || !MemberRules.validAddress(fromAddress)) {
            return;
        }
        long t = enter(now);
        Body body = packet.body();
        Member word = null;
        Member ofSelf = null;
        if (packet.rumours() != null) {
            boolean part = body instanceof Body.Compare c && !c.reply();
            for (Member said :
                    packet.rumours().subList(0, Math.min(MOST_READ, packet.rumours().size()))) {
                view.hear(t, said, fromName, part);
                if (MemberRules.valid(said)) {
                    word = fromName.equals(said.name()) ? said : word;
                    ofSelf = settings.name().equals(said.name()) ? own.member() : ofSelf;
                }
            }
        }
        Member held = table.get(fromName);
        boolean wrong =
                held != null
                        && !fromName.equals(settings.name())
                        && (held.health() != Health.ALIVE || held.boot() != fromBoot);
        if (body instanceof Body.Ping ping) {
            if (settings.name().equals(ping.target())) {
                answer(ping, fromAddress, wrong ? held : null, ofSelf);
            }
        } else {
            if (wrong && word != null && MemberRules.LATER.compare(held, word) > 0) {
                mail.send(fromAddress, new Body.Gossip(), List.of(held));
            }
            dispatch(t, body, fromName, fromAddress);
        }
        time.expect(next());
    }

    private void answer(Body.Ping ping, String address, Member held, Member ofSelf) {
        List<Member> first =
                held == null
                        ? ofSelf == null ? List.of() : List.of(ofSelf)
                        : ofSelf == null ? List.of(held) : List.of(held, ofSelf);
        long at = wall.getAsLong();
        mail.send(
                address, new Body.Ack(ping.nonce(), settings.name(), ping.sentAt(), at, at), first);
    }

    private void dispatch(long t, Body body, String fromName, String fromAddress) {
        if (body instanceof Body.Ack ack) {
            prober.answered(t, ack, fromName, out);
            relays.answered(ack);
        } else if (body instanceof Body.Nack nack) {
            prober.missed(nack.nonce(), fromName);
            if (nack.nonce() == 0) {
                view.confirm(nack.about(), fromName);
            }
        } else if (body instanceof Body.PingRequest request) {
            relays.asked(t, request, fromAddress);
        } else if (body instanceof Body.Compare compare) {
            comparisons.received(compare, fromAddress);
        }
    }

    /** Does what is due. */
    public void wake(long now) {
        if (time == null) {
            return;
        }
        if (time.late(now) > settings.pingTimeout() / LATE_PART) {
            doubt.raise(1);
        }
        long t = enter(now);
        relays.wake(t);
        prober.wake(t, this::noAnswer);
        view.wake(t);
        comparisons.wake(t);
        contacts.wake(t, own.member());
        if (!rumours.isEmpty() && t >= gossipAt) {
            gossipAt = t + settings.gossipPeriod();
            gossip(settings.gossipFanout());
        }
        if (t >= sweepAt) {
            sweepAt = t + SWEEP_PERIOD;
            view.sweep(t);
        }
        time.expect(next());
    }

    private long enter(long now) {
        if (time.skip(now)) {
            doubt.raise(STOPPED_DOUBT);
            prober.abandon();
        }
        return time.steady(now);
    }

    /** Suspects it, and tells those that count independent suspicions of it. */
    private void noAnswer(long t, String name) {
        view.suspect(t, name);
        Member held = table.get(name);
        for (Member witness : table.witnesses(name, WITNESSES)) {
            mail.send(witness.address(), new Body.Nack(0, name), List.of(held));
        }
    }

    private void gossip(int count) {
        for (Member member : table.some(count, random, m -> true)) {
            if (!rumours.isEmpty()) {
                mail.send(member.address(), new Body.Gossip());
            }
        }
    }

    private long next() {
        long next =
                Math.min(Math.min(prober.next(), relays.next()), Math.min(view.next(), sweepAt));
        next = Math.min(next, Math.min(comparisons.next(), contacts.next()));
        return rumours.isEmpty() || table.others() == 0 ? next : Math.min(next, gossipAt);
    }

    /** When {@link #wake} is wanted; may lie in the past. */
    public long nextWake() {
        return time == null ? Long.MAX_VALUE : time.expect(next());
    }

    /** Says that this member leaves. It still answers, and passes on rumours while it is called. */
    public void leave(long now) {
        if (time == null || own.left()) {
            return;
        }
        long t = enter(now);
        Member before = own.member();
        own.leave();
        view.state(t, before);
        prober.stop();
        comparisons.stop();
        contacts.stop();
        gossip(LAST_ROUNDS * settings.gossipFanout());
        time.expect(next());
    }

    /** How many others are held so. */
    public long count(Health health) {
        return table.members().stream()
                .filter(m -> m.health() == health && !m.name().equals(settings.name()))
                .count();
    }

    /** Statements that could not be used, and members beyond the bound, since the start. */
    public long ignored() {
        return view.ignored();
    }

    @Override
    public Member self() {
        return own.member();
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
    public boolean contested(String name) {
        return view.contested(name);
    }

    @Override
    public int doubt() {
        return doubt.level();
    }
}
