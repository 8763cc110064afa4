package loadbalancer.schedule.window;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import org.dmfs.rfc5545.DateTime;
import org.dmfs.rfc5545.recur.Freq;
import org.dmfs.rfc5545.recur.InvalidRecurrenceRuleException;
import org.dmfs.rfc5545.recur.RecurrenceRule;
import org.dmfs.rfc5545.recur.RecurrenceRule.Part;
import org.dmfs.rfc5545.recur.RecurrenceRuleIterator;

/**
 * The local times of a rule. The library computes them without a zone, from an anchor near the time
 * asked for: an endless rule by hours, days or weeks is the same from any multiple of its interval
 * on, one by months or years has few steps even to {@link Recurrence#LAST_YEAR}. So the work is
 * bounded, however far in the future.
 */
final class RuleTimes implements Recurrence.LocalTimes {
    /** Of COUNT: as many are worked out at reading. */
    static final int MOST_COUNTED = 1_000;

    /** Of INTERVAL: beyond it the library's numbers overflow. */
    static final int MOST_INTERVAL = 1_000;

    /** Beginnings an hour: with more, one look at a long window would take long. */
    static final int MOST_AN_HOUR = 4;

    /**
     * Years for which a rule is tried at reading: leap days leave gaps of up to 8 years, weekdays
     * of 28.
     */
    private static final int TRIED_YEARS = 60;

    private final LocalDateTime start;
    private final RecurrenceRule rule;
    private final DateTime until;
    private final LocalDateTime last;
    private List<LocalDateTime> counted;

    private RuleTimes(LocalDateTime start, RecurrenceRule rule, DateTime until) {
        this.start = start;
        this.rule = rule;
        this.until = until;
        this.last = until == null ? LocalDateTime.MAX : java(until).plusDays(2);
    }

    static RuleTimes of(LocalDateTime start, String text) throws InvalidRecurrenceException {
        RecurrenceRule rule;
        try {
            rule = new RecurrenceRule(text, RecurrenceRule.RfcMode.RFC5545_STRICT);
        } catch (InvalidRecurrenceRuleException | IllegalArgumentException e) {
            throw new InvalidRecurrenceException("no rule after RFC 5545: " + e.getMessage());
        }
        if (rule.getFreq() == Freq.SECONDLY || rule.getFreq() == Freq.MINUTELY) {
            throw new InvalidRecurrenceException(
                    "FREQ must be HOURLY, DAILY, WEEKLY, MONTHLY or YEARLY");
        }
        if (rule.hasPart(Part.BYSECOND) || rule.hasPart(Part.RSCALE) || rule.hasPart(Part.SKIP)) {
            throw new InvalidRecurrenceException("BYSECOND, RSCALE and SKIP can't be used");
        }
        if (rule.getFreq() == Freq.YEARLY
                && rule.hasPart(Part.BYMONTHDAY)
                && !rule.hasPart(Part.BYMONTH)) {
            // The RFC means all months; lib-recur 0.17.1 takes the start's alone.
            throw new InvalidRecurrenceException(
                    "FREQ=YEARLY with BYMONTHDAY needs BYMONTH; or use FREQ=MONTHLY");
        }
        List<Integer> minutes = rule.getByPart(Part.BYMINUTE);
        if (minutes != null && minutes.size() > MOST_AN_HOUR) {
            throw new InvalidRecurrenceException("BYMINUTE may name " + MOST_AN_HOUR + " at most");
        }
        if (rule.getInterval() > MOST_INTERVAL) {
            throw new InvalidRecurrenceException("INTERVAL must be at most " + MOST_INTERVAL);
        }
        if (rule.getCount() != null && rule.getCount() > MOST_COUNTED) {
            throw new InvalidRecurrenceException("COUNT must be at most " + MOST_COUNTED);
        }
        DateTime until = rule.getUntil();
        if (until != null) {
            rule.setUntil(null);
        }
        RuleTimes times = new RuleTimes(start, rule, until);
        times.tryOut();
        return times;
    }

    /**
     * The library gives up on rules that it finds nothing for in 1,000 steps: told at reading, not
     * later.
     */
    private void tryOut() throws InvalidRecurrenceException {
        try {
            if (rule.getCount() != null) {
                List<LocalDateTime> all = new ArrayList<>();
                iterate(start).forEachRemaining(all::add);
                counted = all;
            }
            for (int year = 0; year < TRIED_YEARS && counted == null; year++) {
                iterate(start.plusYears(year)).next();
            }
        } catch (IllegalArgumentException | IllegalStateException | NoSuchElementException e) {
            throw new InvalidRecurrenceException("occurs never, or too seldom for its FREQ");
        }
        if (counted != null && counted.isEmpty()) {
            throw new InvalidRecurrenceException("occurs never");
        }
    }

    boolean isBeforeEnd(ZonedDateTime time) {
        if (until == null) {
            return true;
        }
        if (until.isAllDay()) {
            return !time.toLocalDate()
                    .isAfter(
                            LocalDate.of(
                                    until.getYear(), until.getMonth() + 1, until.getDayOfMonth()));
        }
        return until.isFloating()
                ? !time.toLocalDateTime().isAfter(java(until))
                : time.toEpochSecond() <= until.getTimestamp() / 1_000;
    }

    @Override
    public Iterator<LocalDateTime> from(LocalDateTime first) {
        if (counted != null) {
            return counted.stream().filter(t -> !t.isBefore(first)).iterator();
        }
        if (first.getYear() > Recurrence.LAST_YEAR) {
            return List.<LocalDateTime>of().iterator();
        }
        Iterator<LocalDateTime> all = iterate(first);
        return new Iterator<>() {
            private boolean over;

            @Override
            public boolean hasNext() {
                return !over && all.hasNext();
            }

            @Override
            public LocalDateTime next() {
                try {
                    LocalDateTime next = all.next();
                    over = next.isAfter(last); // a day or more beyond UNTIL, in whatever zone it is
                    // meant
                    return next;
                } catch (IllegalArgumentException | IllegalStateException e) {
                    over = true; // the library gave up: nothing for centuries
                    return LocalDateTime.MAX;
                }
            }
        };
    }

    private Iterator<LocalDateTime> iterate(LocalDateTime first) {
        LocalDateTime anchor = anchor(first);
        RecurrenceRuleIterator all = rule.iterator(library(anchor));
        if (first.isAfter(anchor)) {
            all.fastForward(library(first));
        }
        return new Iterator<>() {
            @Override
            public boolean hasNext() {
                return all.hasNext();
            }

            @Override
            public LocalDateTime next() {
                return java(all.nextDateTime());
            }
        };
    }

    /**
     * The start moved on by whole intervals to shortly before {@code first}, where that changes
     * nothing.
     */
    private LocalDateTime anchor(LocalDateTime first) {
        long unit =
                switch (rule.getFreq()) {
                    case HOURLY -> 3_600L;
                    case DAILY -> 86_400L;
                    case WEEKLY -> 7 * 86_400L;
                    default -> 0;
                };
        long interval = unit * rule.getInterval();
        long ahead = Recurrence.seconds(first) - Recurrence.seconds(start);
        if (interval == 0 || ahead <= 2 * interval || rule.getCount() != null) {
            return start;
        }
        return start.plusSeconds((ahead / interval - 1) * interval);
    }

    private static DateTime library(LocalDateTime t) {
        return new DateTime(
                t.getYear(),
                t.getMonthValue() - 1,
                t.getDayOfMonth(),
                t.getHour(),
                t.getMinute(),
                t.getSecond());
    }

    private static LocalDateTime java(DateTime t) {
        return LocalDateTime.ofEpochSecond(t.getTimestamp() / 1_000, 0, ZoneOffset.UTC);
    }
}
