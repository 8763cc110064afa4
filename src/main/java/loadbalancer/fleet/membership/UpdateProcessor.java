package loadbalancer.fleet.membership;

import java.util.function.Consumer;

/**
 * Applies statements about members to the table. The later of two statements takes precedence
 * ({@link MemberPrecedence}), with one exception: a statement that a member is dead or has left is
 * accepted immediately only from the member itself, or after the member was suspected for long
 * enough to refute the suspicion. Otherwise the member is suspected first. Used on the thread of
 * {@link Swim}; times are microseconds of its monotonic clock.
 */
final class UpdateProcessor {
    private final SwimSettings settings;
    private final SwimOutput output;
    private final MemberTable table;
    private final UpdateQueue updates;
    private final SuspicionTimers suspicions;
    private final NameConflicts conflicts;
    private final LocalMember localMember;
    private final Consumer<String> onJoin;
    private long ignoredCount;

    /** Creates a processor; {@code onJoin} receives the name of a member that becomes present. */
    UpdateProcessor(
            SwimSettings settings,
            SwimOutput output,
            MemberTable table,
            UpdateQueue updates,
            LocalMember localMember,
            Consumer<String> onJoin) {
        this.settings = settings;
        this.output = output;
        this.table = table;
        this.updates = updates;
        this.localMember = localMember;
        this.onJoin = onJoin;
        suspicions = new SuspicionTimers(settings);
        conflicts = new NameConflicts(settings.conflictQuietMicros());
    }

    long ignoredCount() {
        return ignoredCount;
    }

    boolean hasNameConflict(String name) {
        return conflicts.hasConflict(name);
    }

    /**
     * Applies a statement that {@code fromName} sent.
     *
     * @param isAntiEntropy whether the statement belongs to an anti-entropy transfer; new members
     *     are not gossiped then, since a joining member would gossip about the whole fleet
     */
    void onUpdate(long nowMicros, Member stated, String fromName, boolean isAntiEntropy) {
        if (!MemberFormat.isValid(stated)) {
            ignoredCount++;
            return;
        }
        if (stated.name().equals(settings.name())) {
            onUpdateAboutSelf(nowMicros, stated);
            return;
        }
        Member current = table.get(stated.name());
        boolean isSelfReported = stated.name().equals(fromName);
        if (current == null) {
            add(nowMicros, stated, isAntiEntropy);
        } else if (!MemberPrecedence.replaces(stated, current, isSelfReported)) {
            updates.onDuplicate(stated, table.presentCount());
        } else if (!isSelfReported
                && !MemberTable.isPresent(stated.health())
                && MemberTable.isPresent(current.health())) {
            onAbsenceStated(nowMicros, stated, current);
        } else {
            apply(nowMicros, current, stated);
            updates.enqueue(stated);
        }
    }

    private void add(long nowMicros, Member stated, boolean isAntiEntropy) {
        if (table.isFull()) {
            Member evicted =
                    MemberTable.isPresent(stated.health()) ? table.evictLongestAbsent() : null;
            if (evicted == null) {
                ignoredCount++;
                return;
            }
            onForgotten(evicted);
        }
        apply(nowMicros, null, stated);
        if (!isAntiEntropy) {
            updates.enqueue(stated);
        }
    }

    private void onAbsenceStated(long nowMicros, Member stated, Member current) {
        boolean isSuspectedAtIncarnation =
                current.health() == Health.SUSPECT && current.incarnation() == stated.incarnation();
        if (isSuspectedAtIncarnation && suspicions.hadTimeToRefute(nowMicros, stated.name())) {
            apply(nowMicros, current, stated);
            updates.enqueue(stated);
            return;
        }
        if (!isSuspectedAtIncarnation) {
            apply(nowMicros, current, stated.with(stated.incarnation(), Health.SUSPECT));
        }
        if (suspicions.onAbsenceStated(nowMicros, stated)) {
            updates.enqueue(stated);
        } else {
            updates.onDuplicate(stated, table.presentCount());
        }
    }

    private void onUpdateAboutSelf(long nowMicros, Member stated) {
        if (localMember.mustRefute(stated)) {
            checkNameConflict(nowMicros, localMember.latest(), stated);
            refute(nowMicros, stated);
        } else {
            updates.onDuplicate(stated, table.presentCount());
        }
    }

    private void refute(long nowMicros, Member stated) {
        Member before = localMember.member();
        if (localMember.refute(nowMicros, stated)) {
            checkNameConflict(nowMicros, stated, localMember.member());
            publishLocalMember(nowMicros, before);
        }
    }

    /** Stores and gossips this member's own statement after it has changed. */
    void publishLocalMember(long nowMicros, Member before) {
        table.put(nowMicros, localMember.member());
        updates.enqueue(localMember.member());
        output.memberChanged(before, localMember.member());
    }

    /** Marks a member as suspected after a failed probe of this member. */
    void suspect(long nowMicros, String name) {
        Member current = table.get(name);
        if (current == null || !MemberTable.isPresent(current.health())) {
            return;
        }
        if (current.health() == Health.ALIVE) {
            Member suspect = current.with(current.incarnation(), Health.SUSPECT);
            apply(nowMicros, current, suspect);
            updates.enqueue(suspect);
        }
        suspicions.confirm(name, settings.name());
    }

    /** Confirms a suspicion after a failed probe of another member. */
    void confirmSuspicion(String name, String confirmingName) {
        if (table.get(confirmingName) != null && !confirmingName.equals(name)) {
            suspicions.confirm(name, confirmingName);
        }
    }

    private void apply(long nowMicros, Member before, Member after) {
        table.put(nowMicros, after);
        if (after.health() == Health.SUSPECT) {
            suspicions.start(nowMicros, after, table.presentCount());
        } else {
            suspicions.cancel(after.name());
        }
        if (before != null) {
            checkNameConflict(nowMicros, before, after);
        }
        if (MemberTable.isPresent(after.health())
                && (before == null || !MemberTable.isPresent(before.health()))) {
            onJoin.accept(after.name());
        }
        output.memberChanged(before, after);
    }

    private void checkNameConflict(long nowMicros, Member before, Member after) {
        if (conflicts.onChange(nowMicros, before, after)) {
            output.warn(
                    "fleet: the member name "
                            + before.name()
                            + " is used by two machines, "
                            + before.address()
                            + " and "
                            + after.address()
                            + "; neither may vote until one of them is removed");
        }
    }

    private void onForgotten(Member member) {
        updates.remove(member.name());
        output.memberChanged(member, null);
    }

    long nextWakeMicros() {
        return Math.min(suspicions.nextWakeMicros(), localMember.nextWakeMicros());
    }

    void wake(long nowMicros) {
        Member expired = suspicions.pollExpired(nowMicros);
        while (expired != null) {
            Member current = table.get(expired.name());
            if (current != null && current.health() == Health.SUSPECT) {
                apply(nowMicros, current, expired);
                updates.enqueue(expired);
            }
            expired = suspicions.pollExpired(nowMicros);
        }
        if (localMember.nextWakeMicros() <= nowMicros) {
            refute(nowMicros, localMember.latest());
        }
    }

    /** Forgets members that have been absent for the configured time, and ended conflicts. */
    void removeExpired(long nowMicros) {
        conflicts.removeExpired(nowMicros);
        for (MemberTable.Entry entry : table.absentEntries()) {
            if (nowMicros - entry.sinceMicros() >= settings.forgetAfterMicros()
                    && !entry.member().name().equals(settings.name())) {
                onForgotten(table.remove(entry.member().name()));
            }
        }
    }
}
