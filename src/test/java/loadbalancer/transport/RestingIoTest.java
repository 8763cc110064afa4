package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A selector knows whole milliseconds; a wait of half of one would be none. */
class RestingIoTest {
    @Test
    void waitsAreRoundedUpAndWhatIsDueStaysDue() {
        assertEquals(1_000_000, MillisecondIoHandler.whole(1));
        assertEquals(1_000_000, MillisecondIoHandler.whole(1_000_000));
        assertEquals(8_000_000, MillisecondIoHandler.whole(7_000_001));
        assertEquals(0, MillisecondIoHandler.whole(0));
        assertEquals(-5, MillisecondIoHandler.whole(-5));
        assertEquals(Long.MAX_VALUE, MillisecondIoHandler.whole(Long.MAX_VALUE));
    }
}
