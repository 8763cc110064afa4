package loadbalancer.fleet.membership;

import java.util.function.Consumer;

/**
 * What this member holds of all others, and how a statement changes that. Of two statements the
 * later one holds ({@link MemberRules}), but for one case: that somebody is gone is believed at
 * once only from himself or when he was suspected already for long enough to object. Else he is
 * suspected first.
 */
final class MembershipView {
    private final SwimSettings settings;
    private final SwimOutput out;
    private final MemberTable table;
    private final GossipQueue rumours;
    private final Suspicions suspicions;
    private final NameConflicts contests;
    private final OwnStatement own;
    private final Consumer<String> joined;
    private long ignored;

    /** {@code joined} is told of each that is present and was not. */
    MembershipView(
            SwimSettings settings,
            SwimOutput out,
            MemberTable table,
            GossipQueue rumours,
            OwnStatement own,
            Consumer<String> joined) {
        this.settings = settings;
        this.out = out;
        this.table = table;
        this.rumours = rumours;
        this.own = own;
        this.joined = joined;
        suspicions = new Suspicions(settings);
        contests = new NameConflicts(settings.contestSilence());
    }

    long ignored() {
        return ignored;
    }

    boolean contested(String name) {
        return contests.contested(name);
    }

    /**
     * Something said by that member.
     *
     * @param part of a comparison: those that were unknown are not passed on, for they were learnt
     *     of one who knows them, and a newcomer would pass on the whole fleet
     */
    void hear(long t, Member said, String from, boolean part) {
        if (!MemberRules.valid(said)) {
            ignored++;
            return;
        }
        if (said.name().equals(settings.name())) {
            hearOfSelf(t, said);
            return;
        }
        Member held = table.get(said.name());
        boolean word = said.name().equals(from);
        if (held == null) {
            meet(t, said, part);
        } else if (!MemberRules.replaces(said, held, word)) {
            rumours.heard(said, table.fleet());
        } else if (!word
                && !MemberTable.isPresent(said.health())
                && MemberTable.isPresent(held.health())) {
            hearOfEnd(t, said, held);
        } else {
            hold(t, held, said);
            rumours.offer(said);
        }
    }

    private void meet(long t, Member said, boolean part) {
        if (table.full()) {
            Member forgotten = MemberTable.isPresent(said.health()) ? table.makeRoom() : null;
            if (forgotten == null) {
                ignored++;
                return;
            }
            forget(forgotten);
        }
        hold(t, null, said);
        if (!part) {
            rumours.offer(said);
        }
    }

    private void hearOfEnd(long t, Member said, Member held) {
        if (held.health() == Health.SUSPECT
                && held.incarnation() == said.incarnation()
                && suspicions.ripe(t, said.name())) {
            hold(t, held, said);
            rumours.offer(said);
            return;
        }
        if (held.health() != Health.SUSPECT || held.incarnation() != said.incarnation()) {
            hold(t, held, said.with(said.incarnation(), Health.SUSPECT));
        }
        if (suspicions.stronger(t, said)) {
            rumours.offer(said);
        } else {
            rumours.heard(said, table.fleet());
        }
    }

    private void hearOfSelf(long t, Member said) {
        if (own.contradicts(said)) {
            Member latest = own.latest();
            report(contests.changed(t, latest, said), latest, said);
            answer(t, said);
        } else {
            rumours.heard(said, table.fleet());
        }
    }

    private void answer(long t, Member said) {
        Member before = own.member();
        if (own.answer(t, said)) {
            report(contests.changed(t, said, own.member()), said, own.member());
            state(t, before);
        }
    }

    /** This member's statement has changed. */
    void state(long t, Member before) {
        table.put(t, own.member());
        rumours.offer(own.member());
        out.changed(before, own.member());
    }

    /** This member itself got no answer. */
    void suspect(long t, String name) {
        Member held = table.get(name);
        if (held == null || !MemberTable.isPresent(held.health())) {
            return;
        }
        if (held.health() == Health.ALIVE) {
            Member suspect = held.with(held.incarnation(), Health.SUSPECT);
            hold(t, held, suspect);
            rumours.offer(suspect);
        }
        suspicions.confirm(name, settings.name());
    }

    /** Another got no answer either. */
    void confirm(String name, String by) {
        if (table.get(by) != null && !by.equals(name)) {
            suspicions.confirm(name, by);
        }
    }

    private void hold(long t, Member before, Member after) {
        table.put(t, after);
        if (after.health() == Health.SUSPECT) {
            suspicions.begin(t, after, table.fleet());
        } else {
            suspicions.end(after.name());
        }
        if (before != null) {
            report(contests.changed(t, before, after), before, after);
        }
        if (MemberTable.isPresent(after.health())
                && (before == null || !MemberTable.isPresent(before.health()))) {
            joined.accept(after.name());
        }
        out.changed(before, after);
    }

    private void report(boolean contested, Member one, Member other) {
        if (contested) {
            out.warn(
                    "the name "
                            + one.name()
                            + " is used by two machines, "
                            + one.address()
                            + " and "
                            + other.address()
                            + ": neither counts until one of them is gone");
        }
    }

    private void forget(Member member) {
        rumours.drop(member.name());
        out.changed(member, null);
    }

    long next() {
        return Math.min(suspicions.next(), own.next());
    }

    void wake(long t) {
        for (Member gone = suspicions.over(t); gone != null; gone = suspicions.over(t)) {
            Member held = table.get(gone.name());
            if (held != null && held.health() == Health.SUSPECT) {
                hold(t, held, gone);
                rumours.offer(gone);
            }
        }
        if (own.next() <= t) {
            answer(t, own.latest());
        }
    }

    /** Drops what is old. */
    void sweep(long t) {
        contests.sweep(t);
        for (MemberTable.Entry entry : table.gone()) {
            if (t - entry.since() >= settings.forgetAfter()
                    && !entry.member().name().equals(settings.name())) {
                forget(table.remove(entry.member().name()));
            }
        }
    }
}
