package loadbalancer.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests which of two statements takes precedence. */
class MemberPrecedenceTest {
    private static Member member(long incarnation, Health health, long boot) {
        return new Member("a", "a:" + boot, "", incarnation, boot, health);
    }

    private static Member fold(List<Member> statements) {
        Member current = statements.get(0);
        for (Member next : statements) {
            current = MemberPrecedence.replaces(next, current, false) ? next : current;
        }
        return current;
    }

    @Test
    void statementsConvergeWhateverTheirOrderAndRepetition() {
        Random random = new Random(9);
        for (int history = 0; history < 500; history++) {
            List<Member> statements = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                statements.add(
                        member(
                                random.nextInt(4),
                                Health.values()[random.nextInt(4)],
                                random.nextInt(3)));
            }
            Member current = fold(statements);
            statements.addAll(statements);
            Collections.shuffle(statements, random);
            assertEquals(current, fold(statements));
        }
    }

    @Test
    void higherIncarnationWinsAndAtOneIncarnationWorseHealthWins() {
        assertTrue(
                MemberPrecedence.replaces(
                        member(2, Health.ALIVE, 1), member(1, Health.LEFT, 9), false));
        assertFalse(
                MemberPrecedence.replaces(
                        member(1, Health.LEFT, 9), member(2, Health.ALIVE, 1), false));
        assertTrue(
                MemberPrecedence.replaces(
                        member(1, Health.SUSPECT, 1), member(1, Health.ALIVE, 1), false));
        assertFalse(
                MemberPrecedence.replaces(
                        member(1, Health.ALIVE, 1), member(1, Health.DEAD, 1), false));
        assertFalse(
                MemberPrecedence.replaces(
                        member(1, Health.ALIVE, 1), member(1, Health.ALIVE, 1), true));
    }

    @Test
    void implausibleIncarnationStepIsAcceptedOnlyFromTheMemberItself() {
        Member current = member(7, Health.ALIVE, 1);
        Member implausible = member(MemberPrecedence.MAX_INCARNATION, Health.DEAD, 1);
        assertFalse(MemberPrecedence.replaces(implausible, current, false));
        assertFalse(MemberPrecedence.replaces(current, implausible, false));
        assertTrue(MemberPrecedence.replaces(current, implausible, true));
    }
}
