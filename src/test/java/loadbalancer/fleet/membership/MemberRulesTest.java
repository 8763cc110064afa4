package loadbalancer.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which statement holds. */
class MemberRulesTest {
    private static Member member(long incarnation, Health health, long boot) {
        return new Member("a", "a:" + boot, "", incarnation, boot, health);
    }

    private static Member fold(List<Member> said) {
        Member held = said.get(0);
        for (Member next : said) {
            held = MemberRules.replaces(next, held, false) ? next : held;
        }
        return held;
    }

    @Test
    void theSameStatementsInAnyOrderAndNumberGiveTheSame() {
        Random random = new Random(9);
        for (int history = 0; history < 500; history++) {
            List<Member> said = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                said.add(
                        member(
                                random.nextInt(4),
                                Health.values()[random.nextInt(4)],
                                random.nextInt(3)));
            }
            Member held = fold(said);
            said.addAll(said);
            Collections.shuffle(said, random);
            assertEquals(held, fold(said));
        }
    }

    @Test
    void aHigherIncarnationWinsOverAnyHealthAndAWorseHealthOverABetter() {
        assertTrue(
                MemberRules.replaces(member(2, Health.ALIVE, 1), member(1, Health.LEFT, 9), false));
        assertFalse(
                MemberRules.replaces(member(1, Health.LEFT, 9), member(2, Health.ALIVE, 1), false));
        assertTrue(
                MemberRules.replaces(
                        member(1, Health.SUSPECT, 1), member(1, Health.ALIVE, 1), false));
        assertFalse(
                MemberRules.replaces(member(1, Health.ALIVE, 1), member(1, Health.DEAD, 1), false));
        assertFalse(
                MemberRules.replaces(member(1, Health.ALIVE, 1), member(1, Health.ALIVE, 1), true));
    }

    @Test
    void anAbsurdIncarnationIsOnlyBelievedOfTheMemberItselfWhicheverWay() {
        Member held = member(7, Health.ALIVE, 1);
        Member absurd = member(MemberRules.MOST_INCARNATION, Health.DEAD, 1);
        assertFalse(MemberRules.replaces(absurd, held, false));
        assertFalse(MemberRules.replaces(held, absurd, false));
        assertTrue(MemberRules.replaces(held, absurd, true));
        assertFalse(MemberRules.valid(member(MemberRules.MOST_INCARNATION + 1, Health.ALIVE, 1)));
        assertFalse(MemberRules.valid(member(-1, Health.ALIVE, 1)));
    }
}
