package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Delays must be rounded up to whole milliseconds: a selector treats a delay of less than one
 * millisecond as no wait, and its loop spins.
 */
class MillisecondIoHandlerTest {
    @Test
    void roundsPositiveDelaysUpToWholeMilliseconds() {
        assertEquals(1_000_000, MillisecondIoHandler.roundUpToMillis(1));
        assertEquals(1_000_000, MillisecondIoHandler.roundUpToMillis(1_000_000));
        assertEquals(8_000_000, MillisecondIoHandler.roundUpToMillis(7_000_001));
        assertEquals(0, MillisecondIoHandler.roundUpToMillis(0));
        assertEquals(-5, MillisecondIoHandler.roundUpToMillis(-5));
        assertEquals(Long.MAX_VALUE, MillisecondIoHandler.roundUpToMillis(Long.MAX_VALUE));
    }
}
