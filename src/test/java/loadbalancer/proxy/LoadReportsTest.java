package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What upstreams say of their load, in whatever state it comes. */
class LoadReportsTest {
    private final LoadReports reports = new LoadReports();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "cpu",
                "cpu=",
                "cpu=much",
                "=",
                ",",
                "cpu=0.5,active=",
                "speed=3",
                "\0",
                "cpu=1\n2"
            })
    void oneThatCannotBeReadIsNone(String text) {
        assertNull(reports.read(text));
    }

    @Test
    void fieldsThatNobodyKnowsAreSkipped() {
        assertEquals(0.5, reports.read(" new=x,cpu=0.5").utilization());
    }

    /** It may be a body of 64 KiB, or have lines of its own. */
    @Test
    void whatIsShownOfABadOneIsALine() {
        assertEquals("a  b", LoadReports.shown("a\r\nb"));
        assertEquals("x".repeat(80) + "...", LoadReports.shown("x".repeat(65_536)));
        assertEquals("x".repeat(80), LoadReports.shown("x".repeat(80)));
    }
}
