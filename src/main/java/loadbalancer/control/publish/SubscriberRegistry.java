package loadbalancer.control.publish;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.control.model.Revision;

/** The connected subscribers by name. Confined to the publisher's thread. */
final class SubscriberRegistry {
    private final Map<String, SubscriberSession> sessions = new LinkedHashMap<>();

    /** Adds a session; returns the session of the same name that it replaces, or null. */
    SubscriberSession put(SubscriberSession session) {
        return sessions.put(session.subscriber(), session);
    }

    /** Removes a session unless a newer one of the same name has replaced it. */
    void remove(SubscriberSession session) {
        sessions.remove(session.subscriber(), session);
    }

    /** Returns the session of a subscriber, or null if it is not connected. */
    SubscriberSession get(String subscriber) {
        return sessions.get(subscriber);
    }

    /** Returns the number of connected subscribers with other names. */
    int countWithout(String subscriber) {
        return sessions.size() - (sessions.containsKey(subscriber) ? 1 : 0);
    }

    /** Returns a view of all sessions. */
    Collection<SubscriberSession> all() {
        return sessions.values();
    }

    /** Counts the subscribers by the revision in force. */
    DistributionStatus status(Revision latest, List<DistributionStatus.Rejection> rejections) {
        int current = 0;
        Revision oldest = latest;
        for (SubscriberSession session : sessions.values()) {
            if (session.inForce().equals(latest)) {
                current++;
            }
            if (oldest.isAfter(session.inForce())) {
                oldest = session.inForce();
            }
        }
        int subscribers = sessions.size();
        return new DistributionStatus(
                latest, subscribers, current, subscribers - current, oldest, rejections);
    }
}
