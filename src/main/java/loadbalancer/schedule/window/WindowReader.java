package loadbalancer.schedule.window;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.HashSet;
import java.util.Set;

/** Reads a {@code [[window]]} table of a calendar file. Stateless. */
final class WindowReader {
    /** Under load, some balancers would miss a shorter window. */
    private static final Duration MIN_LENGTH = Duration.ofSeconds(10);

    /**
     * Longer changes belong in the settings. The limit also bounds how many occurrences of a window
     * overlap.
     */
    private static final Duration MAX_LENGTH = Duration.ofDays(31);

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int MAX_CELL = 1_000_000;
    private static final int MAX_PRIORITY = 1_000;
    private static final double MIN_FACTOR = 0.1;
    private static final double MAX_FACTOR = 10;

    /** Length of a date such as {@code 2026-12-24}; a longer text is a date and time. */
    private static final int DATE_LENGTH = 10;

    private WindowReader() {}

    /**
     * Reads a window.
     *
     * @param place place of the window, the prefix of messages
     * @throws InvalidScheduleException if the window is invalid
     */
    static Window read(String place, JsonNode node) throws InvalidScheduleException {
        TomlTable table = new TomlTable(place, node, CalendarFieldNames.WINDOW_KEYS);
        String name = table.requireName(CalendarFieldNames.NAME);
        long lengthMicros = lengthMicros(table);
        long maxRampSeconds = lengthMicros / (2 * MICROS_PER_SECOND);
        long rampSeconds =
                table.optionalLong(CalendarFieldNames.RAMP_SECONDS, 0, maxRampSeconds, 0);
        return new Window(
                name,
                recurrence(table),
                lengthMicros,
                rampSeconds * MICROS_PER_SECOND,
                target(place, table),
                table.optionalTextSet(CalendarFieldNames.CLASSES),
                table.optionalTextSet(CalendarFieldNames.TENANTS),
                table.requireDouble(CalendarFieldNames.FACTOR, MIN_FACTOR, MAX_FACTOR),
                (int)
                        table.optionalLong(
                                CalendarFieldNames.PRIORITY, -MAX_PRIORITY, MAX_PRIORITY, 0));
    }

    private static long lengthMicros(TomlTable table) throws InvalidScheduleException {
        Duration length;
        try {
            length = Duration.parse(table.requireText(CalendarFieldNames.LENGTH));
        } catch (DateTimeException e) {
            throw invalidLength(table);
        }
        if (length.compareTo(MIN_LENGTH) < 0
                || length.compareTo(MAX_LENGTH) > 0
                || length.getNano() != 0) {
            throw invalidLength(table);
        }
        return length.toSeconds() * MICROS_PER_SECOND;
    }

    private static InvalidScheduleException invalidLength(TomlTable table) {
        return table.invalid(
                CalendarFieldNames.LENGTH,
                "expected whole seconds from PT10S to P31D, such as PT8H30M");
    }

    private static Recurrence recurrence(TomlTable table) throws InvalidScheduleException {
        ZoneId zone = zone(table);
        LocalDateTime start = start(table);
        Set<LocalDate> excludedDates = new HashSet<>();
        Set<LocalDateTime> excludedTimes = new HashSet<>();
        readExcluded(table, excludedDates, excludedTimes);
        try {
            return Recurrence.of(
                    start,
                    zone,
                    table.optionalText(CalendarFieldNames.RECURRENCE_RULE),
                    excludedDates,
                    excludedTimes);
        } catch (InvalidRecurrenceException e) {
            throw table.invalid(CalendarFieldNames.RECURRENCE_RULE, e.getMessage());
        }
    }

    private static ZoneId zone(TomlTable table) throws InvalidScheduleException {
        try {
            return ZoneId.of(table.requireText(CalendarFieldNames.TIME_ZONE));
        } catch (DateTimeException e) {
            throw table.invalid(
                    CalendarFieldNames.TIME_ZONE, "expected a time zone such as Europe/Vienna");
        }
    }

    private static LocalDateTime start(TomlTable table) throws InvalidScheduleException {
        LocalDateTime start;
        try {
            start = LocalDateTime.parse(toIso8601(table.requireText(CalendarFieldNames.START)));
        } catch (DateTimeException e) {
            throw table.invalid(
                    CalendarFieldNames.START,
                    "expected a local date and time such as 2026-12-01T06:00:00");
        }
        if (start.getYear() < 1971 || start.getYear() > 2200 || start.getNano() != 0) {
            throw table.invalid(
                    CalendarFieldNames.START,
                    "expected whole seconds and a year from 1971 to 2200");
        }
        return start;
    }

    private static void readExcluded(
            TomlTable table, Set<LocalDate> dates, Set<LocalDateTime> times)
            throws InvalidScheduleException {
        for (String text : table.optionalTexts(CalendarFieldNames.EXCLUDED)) {
            try {
                if (text.length() > DATE_LENGTH) {
                    times.add(LocalDateTime.parse(toIso8601(text)));
                } else {
                    dates.add(LocalDate.parse(text));
                }
            } catch (DateTimeException e) {
                throw table.invalid(
                        CalendarFieldNames.EXCLUDED,
                        "expected local dates, or local dates and times of occurrences");
            }
        }
    }

    private static UpstreamSelector target(String place, TomlTable table)
            throws InvalidScheduleException {
        if (!table.has(CalendarFieldNames.TARGET)) {
            throw table.invalid(CalendarFieldNames.TARGET, "is missing; {} means all upstreams");
        }
        TomlTable target =
                new TomlTable(
                        place + " " + CalendarFieldNames.TARGET,
                        table.child(CalendarFieldNames.TARGET),
                        CalendarFieldNames.TARGET_KEYS);
        return new UpstreamSelector(
                target.optionalName(CalendarFieldNames.TARGET_KIND),
                target.optionalName(CalendarFieldNames.TARGET_ZONE),
                (int)
                        target.optionalLong(
                                CalendarFieldNames.TARGET_CELL,
                                0,
                                MAX_CELL,
                                UpstreamSelector.ANY_CELL),
                target.optionalTextSet(CalendarFieldNames.TARGET_IDS));
    }

    /** Replaces the space that TOML allows between date and time with the T of ISO 8601. */
    static String toIso8601(String time) {
        return time.replace(' ', 'T');
    }
}
