package loadbalancer.control.publish;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Revision;

/**
 * The latest refusal of each subscriber, until it has what it refused, or something newer, in
 * force.
 */
final class RejectionLog {
    private final int most;
    private final Map<String, DistributionStatus.Rejection> bySubscriber = new LinkedHashMap<>();

    /** Holds that many; the oldest goes first. */
    RejectionLog(int most) {
        this.most = most;
    }

    /** Notes a refusal. */
    void add(Acknowledgement rejected) {
        String subscriber = rejected.subscriber();
        bySubscriber.remove(subscriber);
        bySubscriber.put(
                subscriber,
                new DistributionStatus.Rejection(
                        subscriber, rejected.refused(), rejected.place(), rejected.reason()));
        if (bySubscriber.size() > most) {
            Iterator<String> oldest = bySubscriber.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** A revision is in force at a subscriber: refusals up to it are past. */
    void inForce(String subscriber, Revision revision) {
        DistributionStatus.Rejection rejection = bySubscriber.get(subscriber);
        if (rejection != null && !rejection.revision().isAfter(revision)) {
            bySubscriber.remove(subscriber);
        }
    }

    /** The refusals, the latest last. */
    List<DistributionStatus.Rejection> list() {
        return List.copyOf(bySubscriber.values());
    }
}
