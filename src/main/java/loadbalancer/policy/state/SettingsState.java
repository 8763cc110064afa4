package loadbalancer.policy.state;

import loadbalancer.CapacityWeightKind;
import loadbalancer.LoadBalancerSettings;

/** The settings, and what was made of them. */
public final class SettingsState {
    /** As given. */
    public LoadBalancerSettings settings;

    /** So long before a deadline the final answer is given, in microseconds. */
    public long margin;

    /** The waiting at an upstream that is aimed at, as a part of a class's aim. */
    public double waitShare;

    /** The same for the class with the least aim, in microseconds. */
    public long waitTarget;

    /** How many upstreams may be asked for each request. */
    public double asksEach;

    /** Whether balancers tell one another what they have in flight. */
    public boolean tells;

    /** Whether upstreams are asked for what they have in flight, before a pick. */
    public boolean asks;

    /** Whether what others have in flight is known, one way or the other. */
    public boolean hears() {
        return tells || asks;
    }

    /** An upstream's rating, 1 where there are none. */
    public double rating(Endpoint up) {
        return settings.capacityWeightKind() == CapacityWeightKind.NONE
                        || !(up.entry().capacityWeight() > 0)
                ? 1
                : up.entry().capacityWeight();
    }
}
