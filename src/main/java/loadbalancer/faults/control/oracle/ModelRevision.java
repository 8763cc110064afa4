package loadbalancer.faults.control.oracle;

import java.util.Comparator;

/**
 * A revision as the oracle knows it.
 *
 * @param epoch compared first
 * @param number compared second
 */
public record ModelRevision(long epoch, long number) implements Comparable<ModelRevision> {
    /** Before all others. */
    public static final ModelRevision NONE = new ModelRevision(0, 0);

    private static final Comparator<ModelRevision> ORDER =
            Comparator.comparingLong(ModelRevision::epoch).thenComparingLong(ModelRevision::number);

    @Override
    public int compareTo(ModelRevision other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
