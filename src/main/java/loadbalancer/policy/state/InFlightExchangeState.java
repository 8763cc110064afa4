package loadbalancer.policy.state;

import java.util.List;

/** What peer sync keeps of an upstream. */
public final class InFlightExchangeState {
    /** The other balancers that use it, null if that is to be worked out. */
    public List<Integer> sharers;
}
