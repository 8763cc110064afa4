package loadbalancer.control.publish;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Revision;

/**
 * Holds the latest rejection of each subscriber until the rejected revision or a newer one is in
 * force at that subscriber. Confined to the publisher's thread.
 */
final class RejectionLog {
    private final int capacity;
    private final Map<String, DistributionStatus.Rejection> bySubscriber = new LinkedHashMap<>();

    /** Creates an empty log; an addition beyond the capacity removes the oldest rejection. */
    RejectionLog(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a rejection in place of an earlier one of the same subscriber. */
    void add(Acknowledgement rejected) {
        String subscriber = rejected.subscriber();
        bySubscriber.remove(subscriber);
        bySubscriber.put(
                subscriber,
                new DistributionStatus.Rejection(
                        subscriber, rejected.rejected(), rejected.place(), rejected.reason()));
        if (bySubscriber.size() > capacity) {
            Iterator<String> oldest = bySubscriber.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Removes the rejection of a subscriber if it is of {@code revision} or an earlier one. */
    void removeUpTo(String subscriber, Revision revision) {
        DistributionStatus.Rejection rejection = bySubscriber.get(subscriber);
        if (rejection != null && !rejection.revision().isAfter(revision)) {
            bySubscriber.remove(subscriber);
        }
    }

    /** Returns a copy of the rejections, the latest last. */
    List<DistributionStatus.Rejection> list() {
        return List.copyOf(bySubscriber.values());
    }
}
