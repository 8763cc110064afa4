package yewyoke.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A selector knows whole milliseconds; a wait of half of one would be none. */
class RestingIoTest {
    @Test
    void waitsAreRoundedUpAndWhatIsDueStaysDue() {
        assertEquals(1_000_000, RestingIo.whole(1));
        assertEquals(1_000_000, RestingIo.whole(1_000_000));
        assertEquals(8_000_000, RestingIo.whole(7_000_001));
        assertEquals(0, RestingIo.whole(0));
        assertEquals(-5, RestingIo.whole(-5));
        assertEquals(Long.MAX_VALUE, RestingIo.whole(Long.MAX_VALUE));
    }
}
