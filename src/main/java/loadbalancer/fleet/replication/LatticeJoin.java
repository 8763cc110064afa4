package loadbalancer.fleet.replication;

import java.util.Arrays;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;

/**
 * The joins of the replicated data types. Each is commutative, associative and idempotent: a join
 * in a semilattice (Shapiro et al. 2011). Stateless.
 */
final class LatticeJoin {
    private LatticeJoin() {}

    /** Returns whether a document replaces the current one. */
    static boolean replaces(Document next, Document current) {
        int order = Long.compare(next.incarnation(), current.incarnation());
        if (order == 0) {
            order = Long.compare(next.version(), current.version());
        }
        if (order == 0) {
            order = Arrays.compareUnsigned(next.body(), current.body());
        }
        return order > 0;
    }

    /** Returns the flag whose reason is greater by bytes; both mean that the flag is raised. */
    static Flag join(Flag left, Flag right) {
        return Arrays.compareUnsigned(left.reason(), right.reason()) >= 0 ? left : right;
    }

    /** Returns counters with the maximum at each index. */
    static Counters join(Counters left, Counters right) {
        int length = Math.max(left.values().length, right.values().length);
        long[] values = Arrays.copyOf(left.values(), length);
        for (int i = 0; i < right.values().length; i++) {
            values[i] = Math.max(values[i], right.values()[i]);
        }
        return new Counters(left.topic(), left.member(), left.window(), values);
    }
}
