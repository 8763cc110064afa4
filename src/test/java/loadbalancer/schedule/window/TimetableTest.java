package loadbalancer.schedule.window;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks daylight saving time, missing days, exceptions, ramps and overlapping windows. */
class TimetableTest {
    static final UpstreamAttributes UPSTREAM = new UpstreamAttributes("u1", "a", "big", 3);

    static CalendarRevision calendar(String... windows) {
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

    static double factor(CalendarRevision revision, long instant) {
        return new Timetable(revision.windows()).at(instant).factorFor(UPSTREAM, "class", "tenant");
    }

    /** Checks that the window starts at the first time, ends at the second, and so on. */
    static void assertChanges(String calendar, String... times) {
        Timetable table = new Timetable(calendar(calendar).windows());
        List<String> found = new ArrayList<>();
        long at = utc(times[0]) - 1;
        boolean wasInEffect = false;
        while (found.size() < times.length) {
            boolean isInEffect = table.at(at).factorFor(UPSTREAM, "class", "tenant") != 1;
            if (isInEffect != wasInEffect) {
                found.add(Instant.EPOCH.plusNanos(at * 1_000).toString());
            }
            wasInEffect = isInEffect;
            at = table.at(at).validUntilMicros();
        }
        assertEquals(Arrays.stream(times).map(time -> time + "Z").toList(), found);
    }

    @Test
    void occurrenceInGapMovesForwardByTheGap() {
        assertChanges(
                window("2026-03-28T02:30:00", "Europe/Vienna", "FREQ=DAILY", "PT1H", ""),
                "2026-03-28T01:30:00",
                "2026-03-28T02:30:00",
                "2026-03-29T01:30:00",
                "2026-03-29T02:30:00",
                "2026-03-30T00:30:00",
                "2026-03-30T01:30:00");
    }

    @Test
    void ambiguousLocalTimeMeansTheFirstOccurrence() {
        assertChanges(
                window("2026-10-24T02:30:00", "Europe/Vienna", "FREQ=DAILY", "PT20M", ""),
                "2026-10-24T00:30:00",
                "2026-10-24T00:50:00",
                "2026-10-25T00:30:00",
                "2026-10-25T00:50:00",
                "2026-10-26T01:30:00",
                "2026-10-26T01:50:00");
    }

    @Test
    void lengthIsElapsedTimeAcrossClockChanges() {
        assertChanges(
                window("2026-03-28T22:00:00", "Europe/Vienna", "FREQ=WEEKLY", "PT8H", ""),
                "2026-03-28T21:00:00",
                "2026-03-29T05:00:00",
                "2026-04-04T20:00:00",
                "2026-04-05T04:00:00");
    }

    @Test
    void occurrenceOnSkippedDayMovesForwardByADay() {
        assertChanges(
                window("2011-12-29T12:00:00", "Pacific/Apia", "FREQ=DAILY;COUNT=3", "PT1H", ""),
                "2011-12-29T22:00:00",
                "2011-12-29T23:00:00",
                "2011-12-30T22:00:00",
                "2011-12-30T23:00:00");
    }

    @Test
    void skipsDaysMissingFromAMonth() {
        assertChanges(
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
        assertChanges(
                window("2027-12-31T12:00:00", "UTC", "FREQ=MONTHLY;BYMONTHDAY=-1", "PT1H", ""),
                "2027-12-31T12:00:00",
                "2027-12-31T13:00:00",
                "2028-01-31T12:00:00",
                "2028-01-31T13:00:00",
                "2028-02-29T12:00:00",
                "2028-02-29T13:00:00");
        assertChanges(
                window("2096-02-29T12:00:00", "UTC", "FREQ=YEARLY", "PT1H", ""),
                "2096-02-29T12:00:00",
                "2096-02-29T13:00:00",
                "2104-02-29T12:00:00",
                "2104-02-29T13:00:00");
    }

    @Test
    void windowSpansMidnightAndNewYear() {
        assertChanges(
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
    void exceptionExcludesOneOccurrenceOrAWholeDay() {
        assertChanges(
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
    void windowLongerThanItsPeriodIsAlwaysInEffect() {
        CalendarRevision revision =
                calendar(window("2026-06-01T08:00:00", "UTC", "FREQ=DAILY", "PT36H", "ramp = 600"));
        assertEquals(1, factor(revision, utc("2026-06-01T08:00:00")), 1e-12);
        for (int minute = 10; minute < 10_000; minute++) {
            assertEquals(
                    0.5,
                    factor(revision, utc("2026-06-01T08:00:00") + minute * 60_000_000L),
                    1e-12);
        }
    }

    @Test
    void adjacentRampsAdvanceBySecondsWithoutJump() {
        CalendarRevision revision =
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
            assertEquals(Math.pow(0.1, i / 4.0), factor(revision, start + i * 1_000_000L), 1e-12);
            assertEquals(
                    Math.pow(0.1, Math.max(0, i - 1) / 4.0),
                    factor(revision, start + i * 1_000_000L - 1),
                    1e-12);
            assertEquals(Math.pow(0.1, i / 4.0), factor(revision, end - i * 1_000_000L), 1e-12);
            assertEquals(Math.pow(10, i / 4.0), factor(revision, end + i * 1_000_000L), 1e-12);
        }
    }

    @Test
    void higherPriorityRampsFromFactorOfLowerPriority() {
        CalendarRevision revision =
                calendar(
                        window("2026-06-01T08:00:00", "UTC", "", "PT3H", "factor = 0.25"),
                        window(
                                "2026-06-01T09:00:00",
                                "UTC",
                                "",
                                "PT1H",
                                "priority = 2\nfactor = 4\nramp = 2"));
        assertEquals(0.25, factor(revision, utc("2026-06-01T08:59:59")), 1e-12);
        assertEquals(1, factor(revision, utc("2026-06-01T09:00:01")), 1e-12);
        assertEquals(4, factor(revision, utc("2026-06-01T09:00:02")), 1e-12);
        assertEquals(0.25, factor(revision, utc("2026-06-01T10:00:00")), 1e-12);
    }

    @Test
    void acceptsUntilAsDateLocalTimeOrUtcTime() {
        for (String until : List.of("20260603", "20260603T080000", "20260603T060000Z")) {
            CalendarRevision revision =
                    calendar(
                            window(
                                    "2026-06-01T08:00:00",
                                    "Europe/Vienna",
                                    "FREQ=DAILY;UNTIL=" + until,
                                    "PT1H",
                                    ""));
            assertEquals(0.5, factor(revision, utc("2026-06-03T06:30:00")), 1e-12, until);
            assertEquals(
                    Long.MAX_VALUE,
                    new Timetable(revision.windows())
                            .at(utc("2026-06-03T07:00:00"))
                            .validUntilMicros());
        }
    }
}
