package loadbalancer.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** How long suspicions last, by the formula of Lifeguard worked out by hand. */
class SuspicionsTest {
    private static final long SECOND = 1_000_000;
    private static final Member SUSPECT = new Member("a", "a:1", "", 4, 1, Health.SUSPECT);

    private final Suspicions suspicions =
            new Suspicions(SwimSettings.of("me", "me:1", "", List.of()));

    @Test
    void shrinksWithEachFurtherMemberThatGotNoAnswer() {
        suspicions.begin(0, SUSPECT, 100);
        assertEquals(60 * SECOND, suspicions.next(), "nobody else");
        suspicions.confirm("a", "x");
        suspicions.confirm("a", "x");
        assertEquals(60 * SECOND, suspicions.next(), "the one who suspects is no confirmation");
        suspicions.confirm("a", "y");
        assertEquals(35 * SECOND, suspicions.next(), "half the logarithm of 4");
        suspicions.confirm("a", "z");
        suspicions.confirm("a", "w");
        assertEquals(10 * SECOND, suspicions.next());
        suspicions.confirm("a", "v");
        assertEquals(10 * SECOND, suspicions.next(), "never less");
        assertNull(suspicions.over(10 * SECOND - 1));
        assertEquals(SUSPECT.with(4, Health.DEAD), suspicions.over(10 * SECOND));
        assertEquals(Long.MAX_VALUE, suspicions.next());
    }

    @Test
    void isShortWhereNobodyElseCouldConfirmAndGoesOnAtTheSameIncarnation() {
        suspicions.begin(0, SUSPECT, 2);
        suspicions.begin(3 * SECOND, SUSPECT, 2);
        assertEquals(5 * SECOND, suspicions.next());
        suspicions.begin(4 * SECOND, SUSPECT.with(5, Health.SUSPECT), 2);
        assertEquals(9 * SECOND, suspicions.next(), "another incarnation is another suspicion");
        suspicions.end("a");
        assertNull(suspicions.over(100 * SECOND));
    }

    @Test
    void anothersWordOfDeathShortensItAndCountsOnlyAfterHalfTheLeast() {
        suspicions.begin(0, SUSPECT, 100);
        assertTrue(suspicions.stronger(SECOND, SUSPECT.with(4, Health.DEAD)));
        assertEquals(11 * SECOND, suspicions.next());
        assertFalse(
                suspicions.stronger(2 * SECOND, SUSPECT.with(4, Health.DEAD)),
                "no news, no extension");
        assertFalse(suspicions.ripe(5 * SECOND - 1, "a"));
        assertTrue(suspicions.ripe(5 * SECOND, "a"));
        assertTrue(suspicions.stronger(2 * SECOND, SUSPECT.with(4, Health.LEFT)));
        assertEquals(SUSPECT.with(4, Health.LEFT), suspicions.over(11 * SECOND));
    }
}
