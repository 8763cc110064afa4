package loadbalancer.policy.state;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * All open requests, by id and by deadline. A request that is done is in neither index, so that the
 * size follows what is open and not what has arrived within the longest deadline.
 */
public final class OpenRequests {
    private final Map<String, OpenRequest> requestById = new HashMap<>();
    private final TreeSet<OpenRequest> requestsByDeadline =
            new TreeSet<>(
                    Comparator.comparingLong(OpenRequest::deadlineMicros)
                            .thenComparingLong(OpenRequest::sequenceNumber));
    private long nextSequenceNumber;

    /** Returns a sequence number for the next request, in the order of arrival. */
    public long takeSequenceNumber() {
        return nextSequenceNumber++;
    }

    /** Adds a request whose deadline is set. */
    public void add(OpenRequest request) {
        requestById.put(request.id(), request);
        requestsByDeadline.add(request);
    }

    /** Returns the request with this id; null if it is not open. */
    public OpenRequest get(String id) {
        return requestById.get(id);
    }

    /** Removes a concluded request if none of its attempts is outstanding. */
    public void removeIfDone(OpenRequest request) {
        if (request.outstandingCount() == 0) {
            requestById.remove(request.id());
            requestsByDeadline.remove(request);
        }
    }

    /** Returns the number of requests that are held, in either index. */
    int size() {
        return Math.max(requestById.size(), requestsByDeadline.size());
    }

    /**
     * Resets the arrival time, deadline and latency objective of a request once its body is
     * complete.
     */
    public void restartClock(OpenRequest request, long nowMicros) {
        requestsByDeadline.remove(request);
        request.startClock(nowMicros);
        requestsByDeadline.add(request);
    }

    /**
     * Returns the request with the earliest deadline, which may be concluded; null if there is
     * none.
     */
    public OpenRequest earliestDeadline() {
        return requestsByDeadline.isEmpty() ? null : requestsByDeadline.first();
    }

    /** Removes the request with the earliest deadline from the index by deadline. */
    public void removeEarliestDeadline() {
        requestsByDeadline.pollFirst();
    }
}
