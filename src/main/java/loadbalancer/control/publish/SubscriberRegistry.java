package loadbalancer.control.publish;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.control.model.Revision;

/** The connected subscribers by their names. For the publisher's thread. */
final class SubscriberRegistry {
    private final Map<String, SubscriberSession> sessions = new LinkedHashMap<>();

    /** Adds a subscriber; gives the earlier session of the same name that it replaces, or null. */
    SubscriberSession put(SubscriberSession session) {
        return sessions.put(session.subscriber(), session);
    }

    /** Removes a session, unless another one of the same name has replaced it. */
    void remove(SubscriberSession session) {
        sessions.remove(session.subscriber(), session);
    }

    /** The session of that name, or null. */
    SubscriberSession get(String subscriber) {
        return sessions.get(subscriber);
    }

    /** How many there are besides one of that name. */
    int countWithout(String subscriber) {
        return sessions.size() - (sessions.containsKey(subscriber) ? 1 : 0);
    }

    /** All sessions; a view. */
    Collection<SubscriberSession> all() {
        return sessions.values();
    }

    /** Counts the subscribers by what is in force there. */
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
