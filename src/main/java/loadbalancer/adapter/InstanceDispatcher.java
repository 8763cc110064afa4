package loadbalancer.adapter;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.settings.InvalidInputException;

/** Keeps one module for each instance and hands it its events; they share nothing. */
final class InstanceDispatcher {
    private final Map<Integer, LoadBalancer> instances = new HashMap<>();
    private final Adapter.Maker maker;
    private final Replies replies;

    InstanceDispatcher(Adapter.Maker maker, Replies replies) {
        this.maker = maker;
        this.replies = replies;
    }

    void create(int who, long now, long seed, LoadBalancerSettings settings) {
        guarded(
                who,
                () -> {
                    LoadBalancer balancer = maker.create(settings, seed, replies.forInstance(who));
                    instances.put(who, balancer);
                    balancer.start(now);
                });
    }

    void destroy(int who) {
        instances.remove(who);
    }

    void tell(int who, Consumer<LoadBalancer> event) throws InvalidInputException {
        LoadBalancer balancer = instances.get(who);
        if (balancer == null) {
            throw new InvalidInputException(
                    "an event for instance " + who + ", which does not exist");
        }
        guarded(who, () -> event.accept(balancer));
    }

    private void guarded(int who, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] where = e.getStackTrace();
            replies.bug(who, e + (where.length > 0 ? " at " + where[0] : ""));
        }
    }
}
