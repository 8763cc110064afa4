package loadbalancer.fleet.replication;

import java.util.Arrays;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.Item.Tally;

/**
 * Which of two statements counts. Each of these is the join of a semilattice: Shapiro et al. 2011.
 */
final class Merge {
    private Merge() {}

    /** Whether {@code a} counts before {@code b}. */
    static boolean later(Document a, Document b) {
        int order = Long.compare(a.incarnation(), b.incarnation());
        order = order != 0 ? order : Long.compare(a.version(), b.version());
        return (order != 0 ? order : Arrays.compareUnsigned(a.body(), b.body())) > 0;
    }

    /** Of one member's two reasons the greater by bytes stands; the flag is up either way. */
    static Flag join(Flag a, Flag b) {
        return Arrays.compareUnsigned(a.reason(), b.reason()) >= 0 ? a : b;
    }

    /** The greatest of each place. */
    static Tally join(Tally a, Tally b) {
        long[] values = Arrays.copyOf(a.values(), Math.max(a.values().length, b.values().length));
        for (int i = 0; i < b.values().length; i++) {
            values[i] = Math.max(values[i], b.values()[i]);
        }
        return new Tally(a.topic(), a.member(), a.window(), values);
    }
}
