package loadbalancer.schedule.window;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Times that are easy to get wrong, each by name. */
class HardCasesTest {
    static final Listed UP = new Listed("u1", "a", "big", 3);

    static Revision calendar(String... windows) {
        String text = "revision = 1\nfrom = 2020-01-01T00:00:00Z\n";
        for (int i = 0; i < windows.length; i++) {
            text += "[[window]]\nname = \"w" + i + "\"\n" + windows[i];
            text += windows[i].contains("target") ? "\n" : "\ntarget = {}\n";
        }
        try {
            return CalendarFile.parse("test", text.getBytes(StandardCharsets.UTF_8));
        } catch (InvalidScheduleException e) {
            throw new AssertionError(text, e);
        }
    }

    static String window(String start, String zone, String rule, String length, String more) {
        return "start = "
                + start
                + "\nzone = \""
                + zone
                + "\"\n"
                + (rule.isEmpty() ? "" : "rrule = \"" + rule + "\"\n")
                + "length = \""
                + length
                + "\"\n"
                + (more.contains("factor") ? "" : "factor = 0.5\n")
                + more;
    }

    static long utc(String time) {
        return Instant.parse(time + "Z").getEpochSecond() * 1_000_000;
    }

    static double factor(Revision r, long instant) {
        return new Timetable(r.windows()).at(instant).of(UP, "c", "t");
    }

    /** From each time on until the next one, the window is in force or not, in turn, first not. */
    static void assertTurns(String calendar, String... times) {
        Timetable table = new Timetable(calendar(calendar).windows());
        List<String> found = new ArrayList<>();
        long at = utc(times[0]) - 1;
        boolean was = false;
        while (found.size() < times.length) {
            boolean is = table.at(at).of(UP, "c", "t") != 1;
            if (is != was) {
                found.add(Instant.EPOCH.plusNanos(at * 1_000).toString());
            }
            was = is;
            at = table.at(at).validUntil();
        }
        assertEquals(Arrays.stream(times).map(t -> t + "Z").toList(), found);
    }

    @Test
    void theMissingHourMovesOnByTheGap() {
        assertTurns(
                window("2026-03-28T02:30:00", "Europe/Vienna", "FREQ=DAILY", "PT1H", ""),
                "2026-03-28T01:30:00",
                "2026-03-28T02:30:00",
                "2026-03-29T01:30:00",
                "2026-03-29T02:30:00",
                "2026-03-30T00:30:00",
                "2026-03-30T01:30:00");
    }

    @Test
    void theHourThatComesTwiceCountsOnceTheFirstTime() {
        assertTurns(
                window("2026-10-24T02:30:00", "Europe/Vienna", "FREQ=DAILY", "PT20M", ""),
                "2026-10-24T00:30:00",
                "2026-10-24T00:50:00",
                "2026-10-25T00:30:00",
                "2026-10-25T00:50:00",
                "2026-10-26T01:30:00",
                "2026-10-26T01:50:00");
    }

    @Test
    void lengthIsElapsedTimeWhenTheClockChangesInside() {
        assertTurns(
                window("2026-03-28T22:00:00", "Europe/Vienna", "FREQ=WEEKLY", "PT8H", ""),
                "2026-03-28T21:00:00",
                "2026-03-29T05:00:00",
                "2026-04-04T20:00:00",
                "2026-04-05T04:00:00");
    }

    @Test
    void aDayThatAZoneSkipsMovesOnWhole() {
        assertTurns(
                window("2011-12-29T12:00:00", "Pacific/Apia", "FREQ=DAILY;COUNT=3", "PT1H", ""),
                "2011-12-29T22:00:00",
                "2011-12-29T23:00:00",
                "2011-12-30T22:00:00",
                "2011-12-30T23:00:00");
    }

    @Test
    void daysThatAMonthDoesNotHaveAreLeftOut() {
        assertTurns(
                window(
                        "2027-01-29T12:00:00",
                        "UTC",
                        "FREQ=MONTHLY;BYMONTHDAY=29,30,31",
                        "PT1H",
                        ""),
                "2027-01-29T12:00:00",
                "2027-01-29T13:00:00",
                "2027-01-30T12:00:00",
                "2027-01-30T13:00:00",
                "2027-01-31T12:00:00",
                "2027-01-31T13:00:00",
                "2027-03-29T12:00:00",
                "2027-03-29T13:00:00");
        assertTurns(
                window("2027-12-31T12:00:00", "UTC", "FREQ=MONTHLY;BYMONTHDAY=-1", "PT1H", ""),
                "2027-12-31T12:00:00",
                "2027-12-31T13:00:00",
                "2028-01-31T12:00:00",
                "2028-01-31T13:00:00",
                "2028-02-29T12:00:00",
                "2028-02-29T13:00:00");
        assertTurns(
                window("2096-02-29T12:00:00", "UTC", "FREQ=YEARLY", "PT1H", ""),
                "2096-02-29T12:00:00",
                "2096-02-29T13:00:00",
                "2104-02-29T12:00:00",
                "2104-02-29T13:00:00");
    }

    @Test
    void aWindowGoesOnOverMidnightAndNewYear() {
        assertTurns(
                window(
                        "2026-12-31T23:30:00",
                        "Asia/Kathmandu",
                        "FREQ=YEARLY",
                        "PT1H",
                        "except = [2028-12-31]"),
                "2026-12-31T17:45:00",
                "2026-12-31T18:45:00",
                "2027-12-31T17:45:00",
                "2027-12-31T18:45:00",
                "2029-12-31T17:45:00");
    }

    @Test
    void anExceptionTakesOutOneBeginningOrAllOfADay() {
        assertTurns(
                window(
                        "2026-06-01T08:00:00",
                        "UTC",
                        "FREQ=DAILY;BYHOUR=8,12",
                        "PT1H",
                        "except = [2026-06-01T12:00:00, 2026-06-02]"),
                "2026-06-01T08:00:00",
                "2026-06-01T09:00:00",
                "2026-06-03T08:00:00",
                "2026-06-03T09:00:00",
                "2026-06-03T12:00:00");
    }

    @Test
    void oneLongerThanItsPeriodIsInForceWithoutEnd() {
        Revision r =
                calendar(window("2026-06-01T08:00:00", "UTC", "FREQ=DAILY", "PT36H", "ramp = 600"));
        assertEquals(1, factor(r, utc("2026-06-01T08:00:00")), 1e-12);
        for (int minute = 10; minute < 10_000; minute++) {
            assertEquals(0.5, factor(r, utc("2026-06-01T08:00:00") + minute * 60_000_000L), 1e-12);
        }
    }

    @Test
    void rampsGoBySecondsAndMeetWithoutAJump() {
        Revision r =
                calendar(
                        window("2026-06-01T08:00:00", "UTC", "", "PT1H", "ramp = 4\nfactor = 0.1"),
                        window(
                                "2026-06-01T09:00:00",
                                "UTC",
                                "",
                                "PT1H",
                                "ramp = 4\nfactor = 10\npriority = 1"));
        long start = utc("2026-06-01T08:00:00");
        long end = utc("2026-06-01T09:00:00");
        for (int i = 0; i <= 4; i++) {
            assertEquals(Math.pow(0.1, i / 4.0), factor(r, start + i * 1_000_000L), 1e-12);
            assertEquals(
                    Math.pow(0.1, Math.max(0, i - 1) / 4.0),
                    factor(r, start + i * 1_000_000L - 1),
                    1e-12);
            assertEquals(Math.pow(0.1, i / 4.0), factor(r, end - i * 1_000_000L), 1e-12);
            assertEquals(Math.pow(10, i / 4.0), factor(r, end + i * 1_000_000L), 1e-12);
        }
    }

    @Test
    void theHigherPriorityCoversTheLowerOneAndGoesInFromIt() {
        Revision r =
                calendar(
                        window("2026-06-01T08:00:00", "UTC", "", "PT3H", "factor = 0.25"),
                        window(
                                "2026-06-01T09:00:00",
                                "UTC",
                                "",
                                "PT1H",
                                "priority = 2\nfactor = 4\nramp = 2"));
        assertEquals(0.25, factor(r, utc("2026-06-01T08:59:59")), 1e-12);
        assertEquals(1, factor(r, utc("2026-06-01T09:00:01")), 1e-12);
        assertEquals(4, factor(r, utc("2026-06-01T09:00:02")), 1e-12);
        assertEquals(0.25, factor(r, utc("2026-06-01T10:00:00")), 1e-12);
    }

    @Test
    void itEndsWithUntilInWhateverFormItIsGiven() {
        for (String until : List.of("20260603", "20260603T080000", "20260603T060000Z")) {
            Revision r =
                    calendar(
                            window(
                                    "2026-06-01T08:00:00",
                                    "Europe/Vienna",
                                    "FREQ=DAILY;UNTIL=" + until,
                                    "PT1H",
                                    ""));
            assertEquals(0.5, factor(r, utc("2026-06-03T06:30:00")), 1e-12, until);
            assertEquals(
                    Long.MAX_VALUE,
                    new Timetable(r.windows()).at(utc("2026-06-03T07:00:00")).validUntil());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "FREQ=HOURLY;INTERVAL=7",
        "FREQ=DAILY;INTERVAL=3",
        "FREQ=WEEKLY;BYDAY=MO;INTERVAL=5",
        "FREQ=MONTHLY;BYMONTHDAY=-1",
        "FREQ=YEARLY",
        "FREQ=HOURLY;UNTIL=20270101"
    })
    void thousandsOfYearsOnTheWorkIsBounded(String rule) {
        Timetable table =
                new Timetable(
                        calendar(window("2026-01-31T08:00:00", "UTC", rule, "PT1H", "")).windows());
        assertTimeoutPreemptively(
                Duration.ofSeconds(20),
                () -> {
                    for (int i = 0; i < 300; i++) {
                        long at = utc("8888-01-01T00:00:00") + i * 86_400_000_000L;
                        assertTrue(table.at(at).validUntil() > at);
                    }
                    table.at(Long.MAX_VALUE);
                    table.at(Long.MIN_VALUE);
                });
    }

    @Test
    void farOnItIsInStepWithItsStart() {
        Revision r =
                calendar(window("2026-01-01T08:00:00", "UTC", "FREQ=DAILY;INTERVAL=3", "PT1H", ""));
        long period = 3 * 86_400_000_000L;
        long later = utc("2026-01-01T08:00:00") + 1_000_000 * period / 10;
        assertEquals(0.5, factor(r, later), 1e-12);
        assertEquals(1, factor(r, later + period / 3), 1e-12);
        assertEquals(
                later + period, new Timetable(r.windows()).at(later + period / 2).validUntil());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "FREQ=MINUTELY|FREQ must be",
                "FREQ=DAILY;BYSECOND=1|BYSECOND",
                "FREQ=DAILY;FOO=1|no rule",
                "FREQ=YEARLY;BYMONTHDAY=1|needs BYMONTH",
                "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30|never",
                "FREQ=HOURLY;BYMONTH=2;BYMONTHDAY=30|never",
                "FREQ=DAILY;COUNT=5000|COUNT",
                "x|no rule",
                "FREQ=DAILY;INTERVAL=2000|INTERVAL",
                "FREQ=HOURLY;BYMINUTE=1,2,3,4,5|BYMINUTE",
                "FREQ=DAILY;UNTIL=20200101|nothing is left"
            })
    void rulesThatCannotBeUsedAreRefused(String rule, String reason) {
        AssertionError e =
                assertThrows(
                        AssertionError.class,
                        () -> calendar(window("2026-01-31T08:00:00", "UTC", rule, "PT1H", "")));
        assertTrue(
                e.getCause().getMessage().startsWith("test window 1 w0 rrule: "),
                e.getCause().getMessage());
        assertTrue(e.getCause().getMessage().contains(reason), e.getCause().getMessage());
    }
}
