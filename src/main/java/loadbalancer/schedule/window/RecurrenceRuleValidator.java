package loadbalancer.schedule.window;

import java.util.List;
import org.dmfs.rfc5545.recur.Freq;
import org.dmfs.rfc5545.recur.InvalidRecurrenceRuleException;
import org.dmfs.rfc5545.recur.RecurrenceRule;
import org.dmfs.rfc5545.recur.RecurrenceRule.Part;

/** Parses recurrence rules and rejects unsupported and too expensive ones. Stateless. */
final class RecurrenceRuleValidator {
    /** Limits the occurrences of a rule with COUNT, which are all computed during parsing. */
    private static final int MAX_COUNT = 1_000;

    /** Larger intervals overflow in the library. */
    private static final int MAX_INTERVAL = 1_000;

    /** Bounds the cost of evaluating a long window. */
    private static final int MAX_OCCURRENCES_PER_HOUR = 4;

    private RecurrenceRuleValidator() {}

    /**
     * Parses a rule of RFC 5545.
     *
     * @throws InvalidRecurrenceException if the rule is invalid or not supported
     */
    static RecurrenceRule parse(String text) throws InvalidRecurrenceException {
        RecurrenceRule rule;
        try {
            rule = new RecurrenceRule(text, RecurrenceRule.RfcMode.RFC5545_STRICT);
        } catch (InvalidRecurrenceRuleException | IllegalArgumentException e) {
            throw new InvalidRecurrenceException("not a valid RFC 5545 rule: " + e.getMessage());
        }
        requireSupportedParts(rule);
        requireBounds(rule);
        return rule;
    }

    private static void requireSupportedParts(RecurrenceRule rule)
            throws InvalidRecurrenceException {
        if (rule.getFreq() == Freq.SECONDLY || rule.getFreq() == Freq.MINUTELY) {
            throw new InvalidRecurrenceException(
                    "FREQ must be HOURLY, DAILY, WEEKLY, MONTHLY or YEARLY");
        }
        if (rule.hasPart(Part.BYSECOND) || rule.hasPart(Part.RSCALE) || rule.hasPart(Part.SKIP)) {
            throw new InvalidRecurrenceException("BYSECOND, RSCALE and SKIP are not supported");
        }
        if (rule.getFreq() == Freq.YEARLY
                && rule.hasPart(Part.BYMONTHDAY)
                && !rule.hasPart(Part.BYMONTH)) {
            // RFC 5545 means all months; lib-recur 0.17.1 uses only the month of the start.
            throw new InvalidRecurrenceException(
                    "FREQ=YEARLY with BYMONTHDAY needs BYMONTH; or use FREQ=MONTHLY");
        }
    }

    private static void requireBounds(RecurrenceRule rule) throws InvalidRecurrenceException {
        List<Integer> minutes = rule.getByPart(Part.BYMINUTE);
        if (minutes != null && minutes.size() > MAX_OCCURRENCES_PER_HOUR) {
            throw new InvalidRecurrenceException(
                    "BYMINUTE must have at most " + MAX_OCCURRENCES_PER_HOUR + " values");
        }
        if (rule.getInterval() > MAX_INTERVAL) {
            throw new InvalidRecurrenceException("INTERVAL must be at most " + MAX_INTERVAL);
        }
        if (rule.getCount() != null && rule.getCount() > MAX_COUNT) {
            throw new InvalidRecurrenceException("COUNT must be at most " + MAX_COUNT);
        }
    }
}
