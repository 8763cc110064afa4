package loadbalancer.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares suspicion timeouts with values calculated by hand from Lifeguard's formula. */
class SuspicionTimersTest {
    private static final long SECOND = 1_000_000;
    private static final Member SUSPECT = new Member("a", "a:1", "", 4, 1, Health.SUSPECT);

    private final SuspicionTimers suspicions =
            new SuspicionTimers(SwimSettings.of("me", "me:1", "", List.of()));

    @Test
    void timeoutShrinksWithEachConfirmation() {
        suspicions.start(0, SUSPECT, 100);
        assertEquals(60 * SECOND, suspicions.nextWakeMicros(), "no confirmation");
        suspicions.confirm("a", "x");
        suspicions.confirm("a", "x");
        assertEquals(60 * SECOND, suspicions.nextWakeMicros(), "the accuser is not a confirmation");
        suspicions.confirm("a", "y");
        assertEquals(35 * SECOND, suspicions.nextWakeMicros(), "half the logarithm of 4");
        suspicions.confirm("a", "z");
        suspicions.confirm("a", "w");
        assertEquals(10 * SECOND, suspicions.nextWakeMicros());
        suspicions.confirm("a", "v");
        assertEquals(10 * SECOND, suspicions.nextWakeMicros(), "never shorter");
        assertNull(suspicions.pollExpired(10 * SECOND - 1));
        assertEquals(SUSPECT.with(4, Health.DEAD), suspicions.pollExpired(10 * SECOND));
        assertEquals(Long.MAX_VALUE, suspicions.nextWakeMicros());
    }

    @Test
    void timeoutIsShortWithoutPossibleConfirmationsAndRestartsOnlyAtAnotherIncarnation() {
        suspicions.start(0, SUSPECT, 2);
        suspicions.start(3 * SECOND, SUSPECT, 2);
        assertEquals(5 * SECOND, suspicions.nextWakeMicros());
        suspicions.start(4 * SECOND, SUSPECT.with(5, Health.SUSPECT), 2);
        assertEquals(
                9 * SECOND,
                suspicions.nextWakeMicros(),
                "another incarnation starts another suspicion");
        suspicions.cancel("a");
        assertNull(suspicions.pollExpired(100 * SECOND));
    }

    @Test
    void statedDeathShortensTheTimeoutButLeavesTimeToRefute() {
        suspicions.start(0, SUSPECT, 100);
        assertTrue(suspicions.onAbsenceStated(SECOND, SUSPECT.with(4, Health.DEAD)));
        assertEquals(11 * SECOND, suspicions.nextWakeMicros());
        assertFalse(
                suspicions.onAbsenceStated(2 * SECOND, SUSPECT.with(4, Health.DEAD)),
                "a duplicate does not extend the timeout");
        assertFalse(suspicions.hadTimeToRefute(5 * SECOND - 1, "a"));
        assertTrue(suspicions.hadTimeToRefute(5 * SECOND, "a"));
        assertTrue(suspicions.onAbsenceStated(2 * SECOND, SUSPECT.with(4, Health.LEFT)));
        assertEquals(SUSPECT.with(4, Health.LEFT), suspicions.pollExpired(11 * SECOND));
    }
}
