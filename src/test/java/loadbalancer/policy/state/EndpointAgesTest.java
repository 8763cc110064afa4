package loadbalancer.policy.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of the ages of processes, which must not depend on wrong clocks of other machines. */
class EndpointAgesTest {
    private static final long HOUR = 3_600_000_000L;
    private static final long NOW = 1_000 * HOUR;

    private static final long SECOND = 1_000_000;
    private static final long WARM_UP_MICROS = 9 * SECOND;

    private final EndpointAges ages = new EndpointAges();

    private static EndpointDescriptor entryLaunchedAt(long launchedAtMicros) {
        return new EndpointDescriptor("s-1", 0, 0, 0, EndpointState.READY, 1, launchedAtMicros);
    }

    @Test
    void newProcessIsAsOldAsItsWatchEvent() {
        assertEquals(NOW, ages.startedAt(entryLaunchedAt(NOW - HOUR), NOW, false, WARM_UP_MICROS));
        assertEquals(
                NOW + 1,
                ages.startedAt(entryLaunchedAt(NOW + HOUR), NOW + 1, false, WARM_UP_MICROS));
    }

    /**
     * Watch events may arrive some seconds late; a launch time that is off by more is not trusted.
     */
    @ParameterizedTest
    @CsvSource({"0,0", "1,1", "4,4", "5,4.5", "6,4.5", "7,0", "-1,0"})
    void newProcessIsOlderByTheDelayOfItsWatchEvent(long reportedAge, double trustedAge) {
        assertEquals(
                NOW - Math.round(trustedAge * SECOND),
                ages.startedAt(
                        entryLaunchedAt(NOW - reportedAge * SECOND), NOW, false, WARM_UP_MICROS));
    }

    @Test
    void firstListTrustsLaunchTimesUnlessTheyAreInTheFuture() {
        assertEquals(
                NOW - HOUR, ages.startedAt(entryLaunchedAt(NOW - HOUR), NOW, true, WARM_UP_MICROS));
        assertEquals(NOW, ages.startedAt(entryLaunchedAt(NOW + HOUR), NOW, true, WARM_UP_MICROS));
    }

    @Test
    void endpointThatIsListedAgainKeepsItsAge() {
        ages.startedAt(entryLaunchedAt(NOW), NOW, false, WARM_UP_MICROS);
        assertEquals(NOW, ages.startedAt(entryLaunchedAt(NOW), NOW + HOUR, false, WARM_UP_MICROS));
    }

    @Test
    void differentLaunchTimeMeansADifferentProcessEvenIfEarlier() {
        assertTrue(
                EndpointAges.isDifferentProcess(entryLaunchedAt(NOW), entryLaunchedAt(NOW - HOUR)));
        assertTrue(EndpointAges.isDifferentProcess(entryLaunchedAt(0), entryLaunchedAt(NOW)));
        assertFalse(EndpointAges.isDifferentProcess(entryLaunchedAt(NOW), entryLaunchedAt(NOW)));
    }

    @Test
    void launchTimeZeroMeansTheSameProcess() {
        assertFalse(EndpointAges.isDifferentProcess(entryLaunchedAt(NOW), entryLaunchedAt(0)));
        assertEquals(
                EndpointAges.LONG_AGO_MICROS,
                ages.startedAt(entryLaunchedAt(0), NOW, false, WARM_UP_MICROS));
    }
}
