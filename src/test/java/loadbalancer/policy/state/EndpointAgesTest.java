package loadbalancer.policy.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How old a process is believed to be, whatever the clocks of other machines say. */
class EndpointAgesTest {
    private static final long HOUR = 3_600_000_000L;
    private static final long NOW = 1_000 * HOUR;

    private static final long SECOND = 1_000_000;
    private static final long WARM_UP_MICROS = 9 * SECOND;

    private final EndpointAges ages = new EndpointAges();

    private static EndpointDescriptor started(long at) {
        return new EndpointDescriptor("s-1", 0, 0, 0, EndpointState.READY, 1, at);
    }

    @Test
    void newProcessCountsFromItsWatchEvent() {
        assertEquals(NOW, ages.startedAt(started(NOW - HOUR), NOW, false, WARM_UP_MICROS));
        assertEquals(NOW + 1, ages.startedAt(started(NOW + HOUR), NOW + 1, false, WARM_UP_MICROS));
    }

    /** Watch events may be late by some seconds; a clock that is off by more is not believed. */
    @ParameterizedTest
    @CsvSource({"0,0", "1,1", "4,4", "5,4.5", "6,4.5", "7,0", "-1,0"})
    void newProcessIsCreditedWithTheDelayOfItsWatchEvent(long claimed, double credit) {
        assertEquals(
                NOW - Math.round(credit * SECOND),
                ages.startedAt(started(NOW - claimed * SECOND), NOW, false, WARM_UP_MICROS));
    }

    @Test
    void firstListCountsByTheLaunchTimeButNeverFromTheFuture() {
        assertEquals(NOW - HOUR, ages.startedAt(started(NOW - HOUR), NOW, true, WARM_UP_MICROS));
        assertEquals(NOW, ages.startedAt(started(NOW + HOUR), NOW, true, WARM_UP_MICROS));
    }

    @Test
    void endpointThatIsListedAgainKeepsItsAge() {
        ages.startedAt(started(NOW), NOW, false, WARM_UP_MICROS);
        assertEquals(NOW, ages.startedAt(started(NOW), NOW + HOUR, false, WARM_UP_MICROS));
    }

    @Test
    void otherLaunchTimeIsAnotherProcessEvenIfEarlier() {
        assertTrue(EndpointAges.isOtherProcess(started(NOW), started(NOW - HOUR)));
        assertTrue(EndpointAges.isOtherProcess(started(0), started(NOW)));
        assertFalse(EndpointAges.isOtherProcess(started(NOW), started(NOW)));
    }

    @Test
    void launchTimeZeroIsTheSameProcess() {
        assertFalse(EndpointAges.isOtherProcess(started(NOW), started(0)));
        assertEquals(
                EndpointAges.LONG_AGO_MICROS,
                ages.startedAt(started(0), NOW, false, WARM_UP_MICROS));
    }
}
