package loadbalancer.schedule.window;

import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Computes the occurrences of a window from a local start and a recurrence rule (RFC 5545) in a
 * time zone, leaving out excluded dates and times. Local times are converted to instants as in
 * section 3.3.5 of the RFC and {@link ZonedDateTime}: a time in a gap moves forward by the length
 * of the gap, and a time that occurs twice means the first occurrence. Instants are microseconds of
 * UTC. Immutable.
 */
public final class Recurrence {
    /** Later years are ignored, since the library's calendar ends there. */
    static final int MAX_YEAR = 9_000;

    private static final long MICROS_PER_SECOND = 1_000_000;

    /** Instants are clamped to this range, since a wrong clock may show any time. */
    private static final long MIN_INSTANT_MICROS = 0;

    private static final long MAX_INSTANT_MICROS =
            (MAX_YEAR - 1_970L) * 31_556_952 * MICROS_PER_SECOND;

    /**
     * Local and UTC order differ by at most the longest gap of a time zone, which is a day, and a
     * few hours.
     */
    private static final long MAX_DISORDER_HOURS = 30;

    private final ZoneId zone;
    private final LocalOccurrences localOccurrences;
    private final Predicate<ZonedDateTime> isBeforeEnd;
    private final Set<LocalDate> excludedDates;
    private final Set<LocalDateTime> excludedTimes;

    /** Supplies the local times of a rule. */
    interface LocalOccurrences {
        /** Returns the local times that are not before {@code first}, in order. */
        Iterator<LocalDateTime> from(LocalDateTime first);
    }

    private Recurrence(
            ZoneId zone,
            LocalOccurrences localOccurrences,
            Predicate<ZonedDateTime> isBeforeEnd,
            Set<LocalDate> excludedDates,
            Set<LocalDateTime> excludedTimes) {
        this.zone = zone;
        this.localOccurrences = localOccurrences;
        this.isBeforeEnd = isBeforeEnd;
        this.excludedDates = excludedDates;
        this.excludedTimes = excludedTimes;
    }

    /**
     * Creates a recurrence and checks its rule.
     *
     * @param rule rule in the syntax of RFC 5545; empty for a single occurrence
     * @param excludedDates local dates without occurrences
     * @param excludedTimes local times without occurrences
     * @throws InvalidRecurrenceException if the rule is invalid, not supported or never occurs
     */
    public static Recurrence of(
            LocalDateTime start,
            ZoneId zone,
            String rule,
            Set<LocalDate> excludedDates,
            Set<LocalDateTime> excludedTimes)
            throws InvalidRecurrenceException {
        Recurrence recurrence;
        if (rule.isEmpty()) {
            recurrence =
                    new Recurrence(zone, single(start), time -> true, excludedDates, excludedTimes);
        } else {
            RecurrenceRuleTimes times = RecurrenceRuleTimes.parse(start, rule);
            recurrence =
                    new Recurrence(zone, times, times::isBeforeEnd, excludedDates, excludedTimes);
        }
        if (recurrence.nextOccurrence(Long.MIN_VALUE + 1) == Long.MAX_VALUE) {
            throw new InvalidRecurrenceException(
                    "no occurrence is left by UNTIL and the excluded dates and times");
        }
        return recurrence;
    }

    private static LocalOccurrences single(LocalDateTime start) {
        return first ->
                start.isBefore(first)
                        ? List.<LocalDateTime>of().iterator()
                        : List.of(start).iterator();
    }

    /**
     * Returns the occurrences later than {@code afterMicros} and not later than {@code
     * untilMicros}, in no particular order.
     */
    public List<Long> occurrences(long afterMicros, long untilMicros) {
        List<Long> found = new ArrayList<>();
        LocalDateTime last = toLocal(untilMicros).plusHours(MAX_DISORDER_HOURS);
        Iterator<LocalDateTime> times = localTimesAround(afterMicros);
        while (times.hasNext()) {
            LocalDateTime next = times.next();
            if (next.isAfter(last) || next.getYear() > MAX_YEAR) {
                break;
            }
            long startMicros = toInstant(next);
            if (startMicros > afterMicros && startMicros <= untilMicros) {
                found.add(startMicros);
            }
        }
        return found;
    }

    /**
     * Returns the first occurrence later than {@code afterMicros}, or {@link Long#MAX_VALUE} if
     * there is none.
     */
    public long nextOccurrence(long afterMicros) {
        long first = Long.MAX_VALUE;
        LocalDateTime last = null;
        Iterator<LocalDateTime> times = localTimesAround(afterMicros);
        while (times.hasNext()) {
            LocalDateTime next = times.next();
            if (last != null && next.isAfter(last) || next.getYear() > MAX_YEAR) {
                break;
            }
            long startMicros = toInstant(next);
            if (startMicros > afterMicros && startMicros < first) {
                first = startMicros;
                last = next.plusHours(MAX_DISORDER_HOURS);
            }
        }
        return first;
    }

    private Iterator<LocalDateTime> localTimesAround(long instantMicros) {
        return localOccurrences.from(toLocal(instantMicros).minusHours(MAX_DISORDER_HOURS));
    }

    private LocalDateTime toLocal(long instantMicros) {
        long clamped = Math.max(MIN_INSTANT_MICROS, Math.min(instantMicros, MAX_INSTANT_MICROS));
        return LocalDateTime.ofInstant(Instant.EPOCH.plus(clamped, ChronoUnit.MICROS), zone);
    }

    /** Returns the instant of a local time, or {@link Long#MIN_VALUE} if it is excluded. */
    private long toInstant(LocalDateTime time) {
        ZonedDateTime zoned = ZonedDateTime.ofLocal(time, zone, null);
        if (excludedTimes.contains(time)
                || excludedDates.contains(time.toLocalDate())
                || !isBeforeEnd.test(zoned)) {
            return Long.MIN_VALUE;
        }
        return Math.multiplyExact(zoned.toEpochSecond(), MICROS_PER_SECOND);
    }

    /** Returns the epoch seconds of a local time as if it were UTC, for arithmetic. */
    static long toLocalSeconds(LocalDateTime time) {
        return time.toEpochSecond(ZoneOffset.UTC);
    }
}
