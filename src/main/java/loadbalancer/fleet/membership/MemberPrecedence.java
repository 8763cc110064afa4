package loadbalancer.fleet.membership;

import java.util.Comparator;

/** Decides which of two statements about a member takes precedence. Stateless. */
final class MemberPrecedence {
    /**
     * Maximum step by which one statement may raise an incarnation. Members raise theirs by one at
     * a time; without a limit a malicious statement with the highest number would leave a member
     * unable to refute it.
     */
    static final long MAX_INCARNATION_STEP = 1L << 32;

    static final long MAX_INCARNATION = 1L << 62;

    /**
     * Orders statements from the earliest to the latest. Between two machines with one name the
     * greater boot ID breaks ties, so that all members converge whatever the order of arrival.
     */
    static final Comparator<Member> BY_RECENCY =
            Comparator.comparingLong(Member::incarnation)
                    .thenComparing(Member::health)
                    .thenComparingLong(Member::bootId)
                    .thenComparing(Member::address)
                    .thenComparing(Member::zone);

    private MemberPrecedence() {}

    /**
     * Returns whether a statement replaces the current one.
     *
     * @param isSelfReported whether the member itself sent the statement, which then replaces the
     *     current one if the incarnations differ by more than {@link #MAX_INCARNATION_STEP}
     */
    static boolean replaces(Member stated, Member current, boolean isSelfReported) {
        if (Math.abs(stated.incarnation() - current.incarnation()) > MAX_INCARNATION_STEP) {
            return isSelfReported;
        }
        return BY_RECENCY.compare(stated, current) > 0;
    }
}
