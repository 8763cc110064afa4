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

    /** A number for the next request, in the order of arrival. */
    public long takeSequenceNumber() {
        return nextSequenceNumber++;
    }

    /** Adds a request; its deadline must be set. */
    public void add(OpenRequest request) {
        requestById.put(request.id(), request);
        requestsByDeadline.add(request);
    }

    /** The request with this id; null if it is not open. */
    public OpenRequest get(String id) {
        return requestById.get(id);
    }

    /** Forgets the id of an ended request once none of its attempts is outstanding. */
    public void removeIfDone(OpenRequest request) {
        if (request.outstandingCount() == 0) {
            requestById.remove(request.id());
        }
    }

    /** Starts a request's clock anew, once its body is complete. */
    public void restartClock(OpenRequest request, long nowMicros) {
        requestsByDeadline.remove(request);
        request.startClock(nowMicros);
        requestsByDeadline.add(request);
    }

    /** The request with the earliest deadline, which may have ended; null if there is none. */
    public OpenRequest earliestDeadline() {
        return requestsByDeadline.peek();
    }

    /** Removes the request with the earliest deadline from the order of deadlines. */
    public void removeEarliestDeadline() {
        requestsByDeadline.poll();
    }
}
