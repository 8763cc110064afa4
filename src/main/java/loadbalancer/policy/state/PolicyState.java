package loadbalancer.policy.state;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import loadbalancer.EndpointSnapshot;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadBalancerSnapshot;

/** The state of one instance: all that its modules keep, and what they share. */
public final class PolicyState {
    /** Where the decisions go. */
    public final LoadBalancerActions out;

    /** Chance. */
    public final RandomGenerator random;

    /** What the settings say. */
    public final SettingsState terms = new SettingsState();

    /** The list. */
    public final EndpointList ups = new EndpointList();

    /** The part of the list's own. */
    public final EndpointListState.Own listing = new EndpointListState.Own();

    /** Requests that are open. */
    public final OpenRequests open = new OpenRequests();

    /** Those of them that wait for an upstream. */
    public final PendingRequestQueue held = new PendingRequestQueue();

    /** What was measured of requests. */
    public final Traffic traffic = new Traffic();

    /** What tenants have left. */
    public final TenantQuotas tenants = new TenantQuotas();

    /** What was measured of upstreams. */
    public final ServiceTimes times = new ServiceTimes();

    /** What other balancers have in flight. */
    public final PeerLoad peers = new PeerLoad(traffic, times);

    /** The cold budgets' own part. */
    public final SlowStartState.Own cold = new SlowStartState.Own();

    /** The part of probing. */
    public final ProbingState.Own probing = new ProbingState.Own();

    /** The sweep's part. */
    public final PeriodicTaskState sweep = new PeriodicTaskState();

    /** Whether a second process of this balancer serves. */
    public boolean beside;

    /** Empty ones. */
    public PolicyState(RandomGenerator random, LoadBalancerActions out) {
        this.random = random;
        this.out = out;
    }

    /** Those that hold now. */
    public LoadBalancerSettings settings() {
        return terms.settings;
    }

    /** What was learnt, with {@code most} upstreams from place {@code from}. */
    public LoadBalancerSnapshot memory(long now, int from, int most) {
        List<Endpoint> all = ups.all();
        List<EndpointSnapshot> known = new ArrayList<>();
        for (Endpoint up :
                all.subList(Math.min(from, all.size()), Math.min(from + most, all.size()))) {
            known.add(up.known(now));
        }
        return new LoadBalancerSnapshot(
                times.typicalTook(),
                times.typicalPace(),
                times.unitTook(),
                cold.warmRate,
                traffic.meanCost(),
                traffic.rate(),
                traffic.classes(),
                known);
    }
}
