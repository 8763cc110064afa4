package loadbalancer.policy.state;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/** All open requests, by id and by deadline. */
public final class OpenRequests {
    private final Map<String, OpenRequest> requestById = new HashMap<>();
    private final PriorityQueue<OpenRequest> requestsByDeadline =
            new PriorityQueue<>(
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

    /** Removes a concluded request from the index by id if none of its attempts is outstanding. */
    public void removeIfDone(OpenRequest request) {
        if (request.outstandingCount() == 0) {
            requestById.remove(request.id());
        }
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
        return requestsByDeadline.peek();
    }

    /** Removes the request with the earliest deadline from the index by deadline. */
    public void removeEarliestDeadline() {
        requestsByDeadline.poll();
    }
}
