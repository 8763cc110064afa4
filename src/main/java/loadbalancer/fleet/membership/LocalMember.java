package loadbalancer.fleet.membership;

/**
 * This member's own statement, and its refutations: the same statement under a higher incarnation.
 * A member that lost its incarnation in a restart recovers it the same way. For the thread of
 * {@link Swim}; times are microseconds of its monotonic clock.
 */
final class LocalMember {
    private final LocalHealthMultiplier localHealth;
    private final long refutationIntervalMicros;
    private Member member;
    private boolean hasLeft;
    private long nextRefutationMicros = Long.MIN_VALUE;
    private Member unrefuted;

    /**
     * With the member's first statement.
     *
     * @param refutationIntervalMicros between two refutations of another process: two machines of
     *     one name never stop
     */
    LocalMember(Member member, LocalHealthMultiplier localHealth, long refutationIntervalMicros) {
        this.member = member;
        this.localHealth = localHealth;
        this.refutationIntervalMicros = refutationIntervalMicros;
    }

    Member member() {
        return member;
    }

    boolean hasLeft() {
        return hasLeft;
    }

    void leave() {
        hasLeft = true;
        member = member.with(member.incarnation(), Health.LEFT);
    }

    /** What the name stands for now: this statement, or another process's not yet refuted one. */
    Member latest() {
        return unrefuted == null ? member : unrefuted;
    }

    /** Whether a statement must be refuted, though perhaps not at once. */
    boolean mustRefute(Member stated) {
        return !hasLeft
                && stated.incarnation() - member.incarnation()
                        <= MemberPrecedence.MAX_INCARNATION_STEP
                && MemberPrecedence.BY_RECENCY.compare(stated, latest()) > 0;
    }

    /** Refutes a statement now or defers that; returns whether it was refuted now. */
    boolean refute(long nowMicros, Member stated) {
        if (stated.bootId() != member.bootId()) {
            if (nowMicros < nextRefutationMicros) {
                unrefuted = stated;
                return false;
            }
            nextRefutationMicros = nowMicros + refutationIntervalMicros;
        } else {
            localHealth.onRefutation();
        }
        unrefuted = null;
        long incarnation = Math.min(MemberPrecedence.MAX_INCARNATION, stated.incarnation() + 1);
        member = member.with(incarnation, Health.ALIVE);
        return true;
    }

    /** When a deferred refutation is due. */
    long nextWakeMicros() {
        return unrefuted == null || hasLeft ? Long.MAX_VALUE : nextRefutationMicros;
    }
}
