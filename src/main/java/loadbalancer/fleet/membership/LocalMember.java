package loadbalancer.fleet.membership;

/**
 * This member's own statement about itself. A refutation repeats the statement with a higher
 * incarnation; a member that lost its incarnation in a restart recovers it the same way. For the
 * thread of {@link Swim}; times are microseconds of its monotonic clock.
 */
final class LocalMember {
    private final LocalHealthMultiplier localHealth;
    private final long refutationIntervalMicros;
    private Member member;
    private boolean hasLeft;
    private long nextRefutationMicros = Long.MIN_VALUE;
    private Member unrefuted;

    /**
     * Starts with the member's first statement.
     *
     * @param refutationIntervalMicros minimum time between refutations of another process's
     *     statements, since two machines with one name refute each other endlessly
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

    /**
     * Returns the latest statement under this name: the own one, or one of another process that is
     * not refuted yet.
     */
    Member latest() {
        return unrefuted == null ? member : unrefuted;
    }

    /** Returns whether a statement must be refuted, immediately or later. */
    boolean mustRefute(Member stated) {
        return !hasLeft
                && stated.incarnation() - member.incarnation()
                        <= MemberPrecedence.MAX_INCARNATION_STEP
                && MemberPrecedence.BY_RECENCY.compare(stated, latest()) > 0;
    }

    /** Refutes a statement, or defers the refutation and returns false. */
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

    /** Returns when a deferred refutation is due; {@link Long#MAX_VALUE} if there is none. */
    long nextWakeMicros() {
        return unrefuted == null || hasLeft ? Long.MAX_VALUE : nextRefutationMicros;
    }
}
