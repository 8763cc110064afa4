package loadbalancer.schedule.window;

import static loadbalancer.schedule.window.TimetableTest.calendar;
import static loadbalancer.schedule.window.TimetableTest.factor;
import static loadbalancer.schedule.window.TimetableTest.utc;
import static loadbalancer.schedule.window.TimetableTest.window;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the cost of evaluating recurrence rules far ahead, and rejected rules. */
class RecurrenceTest {
    @ParameterizedTest
    @CsvSource({
        "FREQ=HOURLY;INTERVAL=7",
        "FREQ=DAILY;INTERVAL=3",
        "FREQ=WEEKLY;BYDAY=MO;INTERVAL=5",
        "FREQ=MONTHLY;BYMONTHDAY=-1",
        "FREQ=YEARLY",
        "FREQ=HOURLY;UNTIL=20270101"
    })
    void evaluationCostIsBoundedThousandsOfYearsAhead(String rule) {
        Timetable table =
                new Timetable(
                        calendar(window("2026-01-31T08:00:00", "UTC", rule, "PT1H", "")).windows());
        assertTimeoutPreemptively(
                Duration.ofSeconds(20),
                () -> {
                    for (int i = 0; i < 300; i++) {
                        long at = utc("8888-01-01T00:00:00") + i * 86_400_000_000L;
                        assertTrue(table.at(at).validUntilMicros() > at);
                    }
                    table.at(Long.MAX_VALUE);
                    table.at(Long.MIN_VALUE);
                });
    }

    @Test
    void occurrencesFarAheadAreInPhaseWithTheStart() {
        CalendarRevision revision =
                calendar(window("2026-01-01T08:00:00", "UTC", "FREQ=DAILY;INTERVAL=3", "PT1H", ""));
        long period = 3 * 86_400_000_000L;
        long later = utc("2026-01-01T08:00:00") + 1_000_000 * period / 10;
        assertEquals(0.5, factor(revision, later), 1e-12);
        assertEquals(1, factor(revision, later + period / 3), 1e-12);
        assertEquals(
                later + period,
                new Timetable(revision.windows()).at(later + period / 2).validUntilMicros());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "FREQ=MINUTELY|FREQ must be",
                "FREQ=DAILY;BYSECOND=1|BYSECOND",
                "FREQ=DAILY;FOO=1|not a valid RFC 5545 rule",
                "FREQ=YEARLY;BYMONTHDAY=1|needs BYMONTH",
                "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30|never",
                "FREQ=HOURLY;BYMONTH=2;BYMONTHDAY=30|never",
                "FREQ=DAILY;COUNT=5000|COUNT",
                "x|not a valid RFC 5545 rule",
                "FREQ=DAILY;INTERVAL=2000|INTERVAL",
                "FREQ=HOURLY;BYMINUTE=1,2,3,4,5|BYMINUTE",
                "FREQ=DAILY;UNTIL=20200101|no occurrence is left"
            })
    void rejectsUnsupportedRules(String rule, String reason) {
        AssertionError error =
                assertThrows(
                        AssertionError.class,
                        () -> calendar(window("2026-01-31T08:00:00", "UTC", rule, "PT1H", "")));
        assertTrue(
                error.getCause().getMessage().startsWith("test window 1 w0 rrule: "),
                error.getCause().getMessage());
        assertTrue(error.getCause().getMessage().contains(reason), error.getCause().getMessage());
    }
}
