package loadbalancer.fleet.membership;

/**
 * What this member says of itself, and its answer to others that say otherwise: the same under a
 * higher incarnation. That is also how one that has lost its incarnation at a restart learns of it.
 */
final class OwnStatement {
    private final LocalHealthMultiplier doubt;
    private final long rest;
    private Member member;
    private boolean left;
    private long restUntil = Long.MIN_VALUE;
    private Member unanswered;

    /**
     * {@code rest} between two answers to another process: two machines of one name go on for ever.
     */
    OwnStatement(Member member, LocalHealthMultiplier doubt, long rest) {
        this.member = member;
        this.doubt = doubt;
        this.rest = rest;
    }

    Member member() {
        return member;
    }

    boolean left() {
        return left;
    }

    void leave() {
        left = true;
        member = member.with(member.incarnation(), Health.LEFT);
    }

    /**
     * What the name stands for: this member's statement, or another process's that is not answered
     * yet.
     */
    Member latest() {
        return unanswered == null ? member : unanswered;
    }

    /** Whether what is said must be answered, though not always at once. */
    boolean contradicts(Member said) {
        return !left
                && said.incarnation() - member.incarnation() <= MemberRules.LEAP
                && MemberRules.LATER.compare(said, latest()) > 0;
    }

    /** Answers it, or keeps it until there has been rest; whether the statement has changed. */
    boolean answer(long t, Member said) {
        if (said.boot() != member.boot()) {
            if (t < restUntil) {
                unanswered = said;
                return false;
            }
            restUntil = t + rest;
        } else {
            doubt.refuted();
        }
        unanswered = null;
        member =
                member.with(
                        Math.min(MemberRules.MOST_INCARNATION, said.incarnation() + 1),
                        Health.ALIVE);
        return true;
    }

    /** When an answer that has to wait is due. */
    long next() {
        return unanswered == null || left ? Long.MAX_VALUE : restUntil;
    }
}
