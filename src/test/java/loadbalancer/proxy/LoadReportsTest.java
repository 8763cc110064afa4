package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing of valid and invalid load reports. */
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
    void ignoresInvalidReport(String text) {
        assertNull(reports.read(text));
    }

    @Test
    void skipsUnknownFields() {
        assertEquals(0.5, reports.read(" new=x,cpu=0.5").utilization());
    }

    /** An invalid report may be a body of 64 KiB, or contain line breaks. */
    @Test
    void abbreviatesInvalidReportToOneLine() {
        assertEquals("a  b", LoadReports.abbreviate("a\r\nb"));
        assertEquals("x".repeat(80) + "...", LoadReports.abbreviate("x".repeat(65_536)));
        assertEquals("x".repeat(80), LoadReports.abbreviate("x".repeat(80)));
    }
}
