package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Comparator;

/**
 * A point in the total order of accepted changes. Revisions are ordered by epoch first: a new
 * writer starts a higher epoch, so nothing that an earlier writer accepts afterwards can follow it.
 *
 * @param epoch of the writer, from 1; 0 only in {@link #NONE}
 * @param number of the change, from 1; it continues over a change of epoch
 */
public record Revision(long epoch, long number) implements Comparable<Revision> {
    /** Before every change. */
    public static final Revision NONE = new Revision(0, 0);

    private static final Comparator<Revision> ORDER =
            Comparator.comparingLong(Revision::epoch).thenComparingLong(Revision::number);

    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException if one is negative
     */
    public Revision {
        if (epoch < 0 || number < 0) {
            throw new IllegalArgumentException("a revision has no negative parts");
        }
    }

    /**
     * Reads the form {@code EPOCH.NUMBER}.
     *
     * @throws IllegalArgumentException on any other form
     */
    @JsonCreator
    public static Revision parse(String text) {
        int dot = text.indexOf('.');
        try {
            return new Revision(
                    Long.parseLong(text, 0, Math.max(dot, 0), 10),
                    Long.parseLong(text.substring(dot + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a revision: " + text);
        }
    }

    /** The revision of the next change of the same writer. */
    public Revision next() {
        return new Revision(epoch, number + 1);
    }

    /** Whether this comes after another one. */
    public boolean isAfter(Revision other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(Revision other) {
        return ORDER.compare(this, other);
    }

    /** The form that {@link #parse} reads. */
    @JsonValue
    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
