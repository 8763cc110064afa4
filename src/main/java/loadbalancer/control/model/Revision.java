package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Comparator;

/**
 * A position in the total order of accepted changes. Revisions are ordered by epoch first: a new
 * writer starts a higher epoch, so a change that an earlier writer accepts later is ordered before
 * all changes of the new writer.
 *
 * @param epoch the epoch of the writer, from 1; 0 only in {@link #NONE}
 * @param number the number of the change, from 1; a new epoch continues the numbering
 */
public record Revision(long epoch, long number) implements Comparable<Revision> {
    /** The revision before the first change. */
    public static final Revision NONE = new Revision(0, 0);

    private static final Comparator<Revision> ORDER =
            Comparator.comparingLong(Revision::epoch).thenComparingLong(Revision::number);

    /**
     * Checks that epoch and number are not negative.
     *
     * @throws IllegalArgumentException if one of them is negative
     */
    public Revision {
        if (epoch < 0 || number < 0) {
            throw new IllegalArgumentException("epoch and number of a revision must be 0 or more");
        }
    }

    /**
     * Parses a revision of the form {@code EPOCH.NUMBER}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    @JsonCreator
    public static Revision parse(String text) {
        int dot = text.indexOf('.');
        try {
            return new Revision(
                    Long.parseLong(text, 0, Math.max(dot, 0), 10),
                    Long.parseLong(text.substring(dot + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "expected a revision as EPOCH.NUMBER, but got: " + text);
        }
    }

    /** Returns the revision of the next change in the same epoch. */
    public Revision next() {
        return new Revision(epoch, number + 1);
    }

    /** Returns whether this revision is later than another one. */
    public boolean isAfter(Revision other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(Revision other) {
        return ORDER.compare(this, other);
    }

    /** Formats the revision as {@code EPOCH.NUMBER}, which {@link #parse} reads. */
    @JsonValue
    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
