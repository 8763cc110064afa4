package loadbalancer.policy.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** The requests that wait for an endpoint: highest priority first, then the latest arrival. */
public final class PendingRequestQueue {
    private final TreeSet<OpenRequest> queue =
            new TreeSet<>(
                    Comparator.<OpenRequest>comparingDouble(request -> -request.priority())
                            .thenComparingLong(request -> -request.sequenceNumber()));
    private int maxSize = Integer.MAX_VALUE;

    /** Sets the size from which on {@link #isOverfull} holds. */
    public void setMaxSize(int requests) {
        maxSize = requests;
    }

    /** Adds a request. */
    public void add(OpenRequest request) {
        queue.add(request);
        request.setPending(true);
    }

    /** Removes a request, if it is in the queue. */
    public void remove(OpenRequest request) {
        if (request.isPending()) {
            queue.remove(request);
        }
        request.setPending(false);
    }

    /** Whether no request is pending. */
    public boolean isEmpty() {
        return queue.isEmpty();
    }

    /** How many requests are pending. */
    public int size() {
        return queue.size();
    }

    /** Whether more requests are pending than allowed. */
    public boolean isOverfull() {
        return queue.size() > maxSize;
    }

    /** The request with the highest priority; null if none is pending. */
    public OpenRequest first() {
        return queue.isEmpty() ? null : queue.first();
    }

    /** The request with the lowest priority; the queue must not be empty. */
    public OpenRequest last() {
        return queue.last();
    }

    /** The request that follows this one; null if there is none. */
    public OpenRequest next(OpenRequest request) {
        return queue.higher(request);
    }

    /** A copy in order, for going through while requests are removed. */
    public List<OpenRequest> copy() {
        return new ArrayList<>(queue);
    }
}
