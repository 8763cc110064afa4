package loadbalancer.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the limits of a member's fields. */
class MemberFormatTest {
    private static Member member(long incarnation) {
        return new Member("a", "a:1", "", incarnation, 1, Health.ALIVE);
    }

    @Test
    void rejectsIncarnationsOutOfRange() {
        assertTrue(MemberFormat.isValid(member(MemberPrecedence.MAX_INCARNATION)));
        assertFalse(MemberFormat.isValid(member(MemberPrecedence.MAX_INCARNATION + 1)));
        assertFalse(MemberFormat.isValid(member(-1)));
    }
}
