package loadbalancer.policy.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** The requests that wait for an upstream: the dearest first, and of those the latest. */
public final class PendingRequestQueue {
    private final TreeSet<OpenRequest> held =
            new TreeSet<>(
                    Comparator.<OpenRequest>comparingDouble(r -> -r.value)
                            .thenComparingLong(r -> -r.number));
    private int most = Integer.MAX_VALUE;

    /** No more than that many are to be held. */
    public void most(int count) {
        most = count;
    }

    /** Holds one. */
    public void add(OpenRequest r) {
        held.add(r);
        r.waiting = true;
    }

    /** Holds it no longer, if it did. */
    public void remove(OpenRequest r) {
        if (r.waiting) {
            held.remove(r);
        }
        r.waiting = false;
    }

    /** Whether none is held. */
    public boolean isEmpty() {
        return held.isEmpty();
    }

    /** How many are. */
    public int size() {
        return held.size();
    }

    /** Whether more are held than are to be. */
    public boolean tooMany() {
        return held.size() > most;
    }

    /** The dearest, null if none is held. */
    public OpenRequest first() {
        return held.isEmpty() ? null : held.first();
    }

    /** The least worth. */
    public OpenRequest last() {
        return held.last();
    }

    /** The one behind; null if there is none. */
    public OpenRequest after(OpenRequest r) {
        return held.higher(r);
    }

    /** All as they are now, to go through while some leave. */
    public List<OpenRequest> all() {
        return new ArrayList<>(held);
    }
}
