package loadbalancer.control.publish;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Revision;

/**
 * The latest rejection of each subscriber, until the rejected revision or a newer one is in force
 * there. For the publisher's thread.
 */
final class RejectionLog {
    private final int capacity;
    private final Map<String, DistributionStatus.Rejection> bySubscriber = new LinkedHashMap<>();

    /** Keeps that many; beyond it the oldest is removed. */
    RejectionLog(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a rejection. */
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

    /** A revision is in force at a subscriber: rejections up to it are removed. */
    void inForce(String subscriber, Revision revision) {
        DistributionStatus.Rejection rejection = bySubscriber.get(subscriber);
        if (rejection != null && !rejection.revision().isAfter(revision)) {
            bySubscriber.remove(subscriber);
        }
    }

    /** The rejections, the latest last. */
    List<DistributionStatus.Rejection> list() {
        return List.copyOf(bySubscriber.values());
    }
}
