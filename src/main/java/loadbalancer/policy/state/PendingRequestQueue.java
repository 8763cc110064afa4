package loadbalancer.policy.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * The requests that wait for an endpoint, ordered by priority, the highest first. Among requests of
 * equal priority, the latest arrival is first.
 */
public final class PendingRequestQueue {
    private final TreeSet<OpenRequest> queue =
            new TreeSet<>(
                    Comparator.<OpenRequest>comparingDouble(request -> -request.priority())
                            .thenComparingLong(request -> -request.sequenceNumber()));
    private int maxSize = Integer.MAX_VALUE;

    /** Sets the size above which {@link #isOverfull} returns true. */
    public void setMaxSize(int requests) {
        maxSize = requests;
    }

    /** Adds a request. */
    public void add(OpenRequest request) {
        queue.add(request);
        request.setPending(true);
    }

    /** Removes a request if it is in the queue. */
    public void remove(OpenRequest request) {
        if (request.isPending()) {
            queue.remove(request);
        }
        request.setPending(false);
    }

    /** Returns whether no request is pending. */
    public boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Returns the number of pending requests. */
    public int size() {
        return queue.size();
    }

    /** Returns whether more requests are pending than allowed. */
    public boolean isOverfull() {
        return queue.size() > maxSize;
    }

    /** Returns the request with the highest priority; null if none is pending. */
    public OpenRequest first() {
        return queue.isEmpty() ? null : queue.first();
    }

    /** Returns the request with the lowest priority; the queue must not be empty. */
    public OpenRequest last() {
        return queue.last();
    }

    /** Returns the request after this one; null if there is none. */
    public OpenRequest next(OpenRequest request) {
        return queue.higher(request);
    }

    /** Returns an ordered copy, for iterating while requests are removed. */
    public List<OpenRequest> copy() {
        return new ArrayList<>(queue);
    }
}
