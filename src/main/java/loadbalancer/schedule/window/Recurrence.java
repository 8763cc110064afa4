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
 * The instants at which a window begins: a local date-time and its recurrence after RFC 5545, in a
 * zone, without exceptions. Local times become instants as section 3.3.5 of the RFC and {@link
 * ZonedDateTime} have it: one that is missing moves on by the length of the gap, one that comes
 * twice is the first of both. Instants are microseconds of UTC.
 */
public final class Recurrence {
    /** No later year is looked at: the library's own calendar ends there. */
    static final int LAST_YEAR = 9_000;

    /**
     * What lies before or after these is looked at as if it were there: a clock may show anything.
     */
    private static final long FIRST = 0, LAST = (LAST_YEAR - 1_970L) * 31_556_952 * 1_000_000;

    /**
     * Local and UTC order may differ by the longest gap that a zone ever had, a day, and some
     * hours.
     */
    private static final long DISORDER_HOURS = 30;

    private final ZoneId zone;
    private final LocalTimes times;
    private final Predicate<ZonedDateTime> beforeEnd;
    private final Set<LocalDate> withoutDates;
    private final Set<LocalDateTime> withoutTimes;

    private Recurrence(
            ZoneId zone,
            LocalTimes times,
            Predicate<ZonedDateTime> beforeEnd,
            Set<LocalDate> withoutDates,
            Set<LocalDateTime> withoutTimes) {
        this.zone = zone;
        this.times = times;
        this.beforeEnd = beforeEnd;
        this.withoutDates = withoutDates;
        this.withoutTimes = withoutTimes;
    }

    /**
     * Checks a rule; an empty one means once.
     *
     * @param withoutDates local dates on which nothing begins
     * @param withoutTimes local times at which nothing begins
     * @throws InvalidRecurrenceException if the rule can't be used
     */
    public static Recurrence of(
            LocalDateTime start,
            ZoneId zone,
            String rule,
            Set<LocalDate> withoutDates,
            Set<LocalDateTime> withoutTimes)
            throws InvalidRecurrenceException {
        Recurrence all;
        if (rule.isEmpty()) {
            all =
                    new Recurrence(
                            zone,
                            from ->
                                    start.isBefore(from)
                                            ? List.<LocalDateTime>of().iterator()
                                            : List.of(start).iterator(),
                            z -> true,
                            withoutDates,
                            withoutTimes);
        } else {
            RuleTimes times = RuleTimes.of(start, rule);
            all = new Recurrence(zone, times, times::isBeforeEnd, withoutDates, withoutTimes);
        }
        if (all.next(Long.MIN_VALUE + 1) == Long.MAX_VALUE) {
            throw new InvalidRecurrenceException(
                    "nothing is left of it between UNTIL and the exceptions");
        }
        return all;
    }

    /** Local times that a rule gives, from one on, in order. */
    interface LocalTimes {
        Iterator<LocalDateTime> from(LocalDateTime first);
    }

    /** The beginnings later than {@code after} and not later than {@code until}, in no order. */
    public List<Long> starts(long after, long until) {
        List<Long> found = new ArrayList<>();
        LocalDateTime last = local(until).plusHours(DISORDER_HOURS);
        Iterator<LocalDateTime> all = times.from(local(after).minusHours(DISORDER_HOURS));
        while (all.hasNext()) {
            LocalDateTime next = all.next();
            if (next.isAfter(last) || next.getYear() > LAST_YEAR) {
                break;
            }
            long start = instant(next);
            if (start > after && start <= until) {
                found.add(start);
            }
        }
        return found;
    }

    /** The first beginning later than {@code after}; {@link Long#MAX_VALUE} if there is none. */
    public long next(long after) {
        long best = Long.MAX_VALUE;
        LocalDateTime last = null;
        Iterator<LocalDateTime> all = times.from(local(after).minusHours(DISORDER_HOURS));
        while (all.hasNext()) {
            LocalDateTime next = all.next();
            if (last != null && next.isAfter(last) || next.getYear() > LAST_YEAR) {
                break;
            }
            long start = instant(next);
            if (start > after && start < best) {
                best = start;
                last = next.plusHours(DISORDER_HOURS);
            }
        }
        return best;
    }

    private LocalDateTime local(long micros) {
        long kept = Math.max(FIRST, Math.min(micros, LAST));
        return LocalDateTime.ofInstant(Instant.EPOCH.plus(kept, ChronoUnit.MICROS), zone);
    }

    /** When that one begins; {@link Long#MIN_VALUE} if it is left out. */
    private long instant(LocalDateTime time) {
        ZonedDateTime at = ZonedDateTime.ofLocal(time, zone, null);
        if (withoutTimes.contains(time)
                || withoutDates.contains(time.toLocalDate())
                || !beforeEnd.test(at)) {
            return Long.MIN_VALUE;
        }
        return Math.multiplyExact(at.toEpochSecond(), 1_000_000L);
    }

    /** A local time as if the zone were UTC, in seconds: for arithmetic. */
    static long seconds(LocalDateTime time) {
        return time.toEpochSecond(ZoneOffset.UTC);
    }
}
