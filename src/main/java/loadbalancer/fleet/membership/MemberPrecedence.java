package loadbalancer.fleet.membership;

import java.util.Comparator;

/** Decides which of two statements about a member takes precedence. Stateless. */
final class MemberPrecedence {
    /**
     * How far one statement may raise an incarnation. Members raise theirs by one at a time; a
     * malicious statement of the highest number must not silence a member for ever.
     */
    static final long MAX_INCARNATION_STEP = 1L << 32;

    static final long MAX_INCARNATION = 1L << 62;

    /**
     * Greater is later. Ties between two machines of one name go to the greater boot ID, so that
     * all members converge whatever the order of arrival.
     */
    static final Comparator<Member> BY_RECENCY =
            Comparator.comparingLong(Member::incarnation)
                    .thenComparing(Member::health)
                    .thenComparingLong(Member::bootId)
                    .thenComparing(Member::address)
                    .thenComparing(Member::zone);

    private MemberPrecedence() {}

    /**
     * Whether a statement replaces the current one.
     *
     * @param isSelfReported the member itself states it: that wins if the incarnations are
     *     implausibly far apart
     */
    static boolean replaces(Member stated, Member current, boolean isSelfReported) {
        if (Math.abs(stated.incarnation() - current.incarnation()) > MAX_INCARNATION_STEP) {
            return isSelfReported;
        }
        return BY_RECENCY.compare(stated, current) > 0;
    }
}
