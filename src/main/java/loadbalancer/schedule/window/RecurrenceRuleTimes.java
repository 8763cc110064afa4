package loadbalancer.schedule.window;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import org.dmfs.rfc5545.DateTime;
import org.dmfs.rfc5545.recur.RecurrenceRule;
import org.dmfs.rfc5545.recur.RecurrenceRuleIterator;

/**
 * Computes the local times of a recurrence rule. The library iterates without a time zone from an
 * anchor near the requested time, so that the work is bounded however far that is in the future. An
 * endless rule by hours, days or weeks yields the same times from any multiple of its interval on;
 * a rule by months or years needs few steps even up to {@link Recurrence#MAX_YEAR}.
 *
 * <p>Immutable after parsing.
 */
final class RecurrenceRuleTimes implements Recurrence.LocalOccurrences {
    /** Rules with leap days have gaps of up to 8 years, with weekdays in addition of up to 28. */
    private static final int CHECKED_YEARS = 60;

    /** Exceeds the offset of any time zone, since {@code UNTIL} may be in UTC. */
    private static final int UNTIL_MARGIN_DAYS = 2;

    private final LocalDateTime start;
    private final RecurrenceRule rule;

    /** UNTIL of the rule, or null. */
    private final DateTime until;

    private final LocalDateTime end;

    /** All local times of a rule with COUNT; null for other rules. */
    private List<LocalDateTime> countedTimes;

    private RecurrenceRuleTimes(LocalDateTime start, RecurrenceRule rule, DateTime until) {
        this.start = start;
        this.rule = rule;
        this.until = until;
        this.end =
                until == null ? LocalDateTime.MAX : fromLibrary(until).plusDays(UNTIL_MARGIN_DAYS);
    }

    /**
     * Parses and checks a rule.
     *
     * @throws InvalidRecurrenceException if the rule is invalid, not supported or never occurs
     */
    static RecurrenceRuleTimes parse(LocalDateTime start, String text)
            throws InvalidRecurrenceException {
        RecurrenceRule rule = RecurrenceRuleValidator.parse(text);
        DateTime until = rule.getUntil();
        if (until != null) {
            rule.setUntil(null); // applied in isBeforeEnd, as it depends on the time zone
        }
        RecurrenceRuleTimes times = new RecurrenceRuleTimes(start, rule, until);
        times.requireOccurrences();
        return times;
    }

    /** Rejects rules for which the library finds no occurrence in 1,000 steps and fails. */
    private void requireOccurrences() throws InvalidRecurrenceException {
        try {
            if (rule.getCount() != null) {
                List<LocalDateTime> all = new ArrayList<>();
                iterate(start).forEachRemaining(all::add);
                countedTimes = all;
            }
            for (int year = 0; year < CHECKED_YEARS && countedTimes == null; year++) {
                iterate(start.plusYears(year)).next();
            }
        } catch (IllegalArgumentException | IllegalStateException | NoSuchElementException e) {
            throw new InvalidRecurrenceException("never occurs, or too rarely for its FREQ");
        }
        if (countedTimes != null && countedTimes.isEmpty()) {
            throw new InvalidRecurrenceException("never occurs");
        }
    }

    /** Returns whether a time is not after UNTIL. */
    boolean isBeforeEnd(ZonedDateTime time) {
        if (until == null) {
            return true;
        }
        if (until.isAllDay()) {
            LocalDate lastDate =
                    LocalDate.of(until.getYear(), until.getMonth() + 1, until.getDayOfMonth());
            return !time.toLocalDate().isAfter(lastDate);
        }
        return until.isFloating()
                ? !time.toLocalDateTime().isAfter(fromLibrary(until))
                : time.toEpochSecond() <= until.getTimestamp() / 1_000;
    }

    @Override
    public Iterator<LocalDateTime> from(LocalDateTime first) {
        if (countedTimes != null) {
            return countedTimes.stream().filter(time -> !time.isBefore(first)).iterator();
        }
        return first.getYear() > Recurrence.MAX_YEAR
                ? Collections.emptyIterator()
                : new UntilEnd(iterate(first), end);
    }

    private Iterator<LocalDateTime> iterate(LocalDateTime first) {
        LocalDateTime anchor = anchor(first);
        RecurrenceRuleIterator times = rule.iterator(toLibrary(anchor));
        if (first.isAfter(anchor)) {
            times.fastForward(toLibrary(first));
        }
        return new Iterator<>() {
            @Override
            public boolean hasNext() {
                return times.hasNext();
            }

            @Override
            public LocalDateTime next() {
                return fromLibrary(times.nextDateTime());
            }
        };
    }

    /**
     * Returns the start, moved forward by whole intervals to just before {@code first} if possible.
     */
    private LocalDateTime anchor(LocalDateTime first) {
        long unitSeconds =
                switch (rule.getFreq()) {
                    case HOURLY -> 3_600L;
                    case DAILY -> 86_400L;
                    case WEEKLY -> 7 * 86_400L;
                    default -> 0;
                };
        long intervalSeconds = unitSeconds * rule.getInterval();
        long aheadSeconds = Recurrence.toLocalSeconds(first) - Recurrence.toLocalSeconds(start);
        if (intervalSeconds == 0
                || aheadSeconds <= 2 * intervalSeconds
                || rule.getCount() != null) {
            return start;
        }
        return start.plusSeconds((aheadSeconds / intervalSeconds - 1) * intervalSeconds);
    }

    private static DateTime toLibrary(LocalDateTime time) {
        return new DateTime(
                time.getYear(),
                time.getMonthValue() - 1,
                time.getDayOfMonth(),
                time.getHour(),
                time.getMinute(),
                time.getSecond());
    }

    private static LocalDateTime fromLibrary(DateTime time) {
        return LocalDateTime.ofEpochSecond(time.getTimestamp() / 1_000, 0, ZoneOffset.UTC);
    }

    /** Ends after {@code end}, or where the library finds no occurrence for centuries. */
    private static final class UntilEnd implements Iterator<LocalDateTime> {
        private final Iterator<LocalDateTime> times;
        private final LocalDateTime end;
        private boolean hasEnded;

        UntilEnd(Iterator<LocalDateTime> times, LocalDateTime end) {
            this.times = times;
            this.end = end;
        }

        @Override
        public boolean hasNext() {
            return !hasEnded && times.hasNext();
        }

        @Override
        public LocalDateTime next() {
            try {
                LocalDateTime next = times.next();
                hasEnded = next.isAfter(end);
                return next;
            } catch (IllegalArgumentException | IllegalStateException e) {
                hasEnded = true;
                return LocalDateTime.MAX;
            }
        }
    }
}
