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
 * The occurrences of a window: a local start and its recurrence rule (RFC 5545) in a time zone,
 * without exceptions. Local times become instants as section 3.3.5 of the RFC and {@link
 * ZonedDateTime} have it: one in a gap moves on by the gap's length, one that occurs twice is the
 * first of both. Instants are microseconds of UTC. Immutable.
 */
public final class Recurrence {
    /** Later years are ignored: the library's own calendar ends there. */
    static final int MAX_YEAR = 9_000;

    private static final long MICROS_PER_SECOND = 1_000_000;

    /** Instants are clamped to these: a clock may show anything. */
    private static final long MIN_INSTANT_MICROS = 0;

    private static final long MAX_INSTANT_MICROS =
            (MAX_YEAR - 1_970L) * 31_556_952 * MICROS_PER_SECOND;

    /** Local and UTC order differ by a zone's longest gap, a day, and some hours at most. */
    private static final long MAX_DISORDER_HOURS = 30;

    private final ZoneId zone;
    private final LocalOccurrences localOccurrences;
    private final Predicate<ZonedDateTime> isBeforeEnd;
    private final Set<LocalDate> excludedDates;
    private final Set<LocalDateTime> excludedTimes;

    /** Local times of a rule. */
    interface LocalOccurrences {
        /** The local times from one on, in order. */
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
     * The recurrence of a rule.
     *
     * @param rule RFC 5545; empty for a single occurrence
     * @param excludedDates local dates without occurrences
     * @param excludedTimes local times without occurrences
     * @throws InvalidRecurrenceException if the rule can't be used
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
                    "nothing is left of it between UNTIL and the exceptions");
        }
        return recurrence;
    }

    private static LocalOccurrences single(LocalDateTime start) {
        return first ->
                start.isBefore(first)
                        ? List.<LocalDateTime>of().iterator()
                        : List.of(start).iterator();
    }

    /** The occurrences later than {@code after} and not later than {@code until}, in no order. */
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

    /** The first occurrence later than {@code after}; {@link Long#MAX_VALUE} if there is none. */
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

    /** The instant of a local time; {@link Long#MIN_VALUE} if it is excluded. */
    private long toInstant(LocalDateTime time) {
        ZonedDateTime zoned = ZonedDateTime.ofLocal(time, zone, null);
        if (excludedTimes.contains(time)
                || excludedDates.contains(time.toLocalDate())
                || !isBeforeEnd.test(zoned)) {
            return Long.MIN_VALUE;
        }
        return Math.multiplyExact(zoned.toEpochSecond(), MICROS_PER_SECOND);
    }

    /** A local time as if the zone were UTC, in seconds: for arithmetic. */
    static long toLocalSeconds(LocalDateTime time) {
        return time.toEpochSecond(ZoneOffset.UTC);
    }
}
