package loadbalancer.policy.state;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/** All that are open, by name and by deadline. */
public final class OpenRequests {
    private final Map<String, OpenRequest> byId = new HashMap<>();
    private final PriorityQueue<OpenRequest> byDeadline =
            new PriorityQueue<>(
                    Comparator.<OpenRequest>comparingLong(r -> r.deadline)
                            .thenComparingLong(r -> r.number));
    private long number;

    /** When the timer for the next deadline is due. */
    public long dueAt = Long.MAX_VALUE;

    /** The number of the next one. */
    public long nextNumber() {
        return number++;
    }

    /** Takes one in. */
    public void add(OpenRequest r) {
        byId.put(r.request.id(), r);
        byDeadline.add(r);
    }

    /** Null if it is not open. */
    public OpenRequest get(String id) {
        return byId.get(id);
    }

    /** Forgets its name once nothing of it is out. */
    public void forgetIfDone(OpenRequest r) {
        if (r.outstanding() == 0) {
            byId.remove(r.request.id());
        }
    }

    /** Its time begins only now. */
    public void countFrom(OpenRequest r, long now) {
        byDeadline.remove(r);
        r.countFrom(now);
        byDeadline.add(r);
    }

    /** The one with the next deadline, which may have ended; null if there is none. */
    public OpenRequest nextDue() {
        return byDeadline.peek();
    }

    /** Its deadline is dealt with. */
    public void dropDue() {
        byDeadline.poll();
    }
}
