package loadbalancer.policy;

import java.util.random.RandomGenerator;
import loadbalancer.RuleLimits;
import loadbalancer.policy.data.TokenBucket;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PeerLoad;
import loadbalancer.policy.state.SiblingProcess;
import loadbalancer.policy.state.Traffic;

/**
 * Slow start: limits the work that is sent to a process that has just started, which would
 * otherwise be overloaded while it warms up.
 *
 * <p>Each warming endpoint has a token bucket of work. It is refilled at this balancer's part of
 * the rate that an endpoint of that age can take. Inputs are the age of the process, the length of
 * the warm-up, the work that warm endpoints serve for this balancer, and the load of peers if it is
 * known. {@link EndpointCapacity} scales the concurrency limit by the same warm-up factor.
 *
 * <p>Warm endpoints are not limited. Rejected requests do not count as served work, because a burst
 * of rejections would otherwise raise the budget.
 */
final class SlowStart {
    /**
     * Fraction of its slow-start quota that this balancer uses. The rest is a margin, because
     * requests of other balancers are not visible here.
     */
    private static final double QUOTA_FRACTION = 0.2;

    /** Minimum size of the bucket in mean requests; above 1, so that one request fits. */
    private static final double MIN_BUCKET_REQUESTS = 1.2;

    /**
     * Requests per window, summed over all balancers, that are always allowed; the service rule
     * permits 3.
     */
    private static final double MIN_REQUESTS_PER_WINDOW = 2;

    /** Smoothing factor for an endpoint's served rate, applied once per measurement period. */
    private static final double SERVED_RATE_SMOOTHING = 0.08;

    private final DerivedSettings settings;
    private final Traffic traffic;
    private final PeerLoad peerLoad;
    private final Subsetting subsetting;
    private final SiblingProcess sibling;
    private final RandomGenerator random;

    /**
     * Rate of work that a warm endpoint of capacity weight 1 serves for this balancer; 0 while
     * unknown.
     */
    private double warmWorkPerMicro;

    SlowStart(
            DerivedSettings settings,
            Traffic traffic,
            PeerLoad peerLoad,
            Subsetting subsetting,
            SiblingProcess sibling,
            RandomGenerator random) {
        this.settings = settings;
        this.traffic = traffic;
        this.peerLoad = peerLoad;
        this.subsetting = subsetting;
        this.sibling = sibling;
        this.random = random;
    }

    /**
     * Gives a new endpoint a random token balance, so that balancers do not all send their first
     * request at once.
     */
    void initialize(Endpoint endpoint, long nowMicros) {
        double tokens = traffic.meanCostMicros() * (2 * random.nextDouble() - 1);
        endpoint.slowStart().workBucket().restart(tokens, nowMicros);
    }

    double warmWorkPerMicro() {
        return warmWorkPerMicro;
    }

    void restoreWarmRate(double workPerMicro) {
        warmWorkPerMicro = workPerMicro;
    }

    /**
     * Returns the fraction of its full capacity that the endpoint has at its age; 1 once it is
     * warm.
     */
    double warmUpFactor(Endpoint endpoint, long nowMicros) {
        RuleLimits rules = settings.current().ruleLimits();
        if (endpoint.startedAtMicros() <= nowMicros - rules.slowStartMicros()) {
            return 1;
        }
        double ageMicros = Math.max(0, nowMicros - endpoint.startedAtMicros());
        return rules.initialCapacityRatio()
                + (1 - rules.initialCapacityRatio()) * ageMicros / rules.slowStartMicros();
    }

    private boolean isWarm(Endpoint endpoint, long nowMicros) {
        return warmUpFactor(endpoint, nowMicros) >= 1;
    }

    /**
     * Refills the endpoint's bucket and returns whether the endpoint is warm or has budget left for
     * this request.
     */
    boolean hasBudget(Endpoint endpoint, OpenRequest request, long nowMicros) {
        double warmUpFactor = warmUpFactor(endpoint, nowMicros);
        if (warmUpFactor >= 1) {
            return true;
        }
        if (settings.knowsPeerLoad() && totalInFlight(endpoint, nowMicros) >= 1) {
            return false;
        }
        double workPerMicro = budgetWorkPerMicro(endpoint, warmUpFactor);
        double maxTokens =
                Math.max(
                        workPerMicro * settings.current().ruleLimits().overloadWindowMicros(),
                        MIN_BUCKET_REQUESTS * traffic.meanCostMicros());
        TokenBucket bucket = endpoint.slowStart().workBucket();
        bucket.refill(workPerMicro * bucket.microsSinceRefill(nowMicros), maxTokens, nowMicros);
        return bucket.tokens() >= budgetCost(request);
    }

    private double totalInFlight(Endpoint endpoint, long nowMicros) {
        return endpoint.inFlight().requests() + peerLoad.peerRequests(endpoint, nowMicros);
    }

    /**
     * Returns this balancer's part of the work rate that the endpoint may take. An endpoint that is
     * warming up fails above {@code overloadCapacityMultiple} times its current capacity. The part
     * is that multiple of what a warm endpoint serves for this balancer, so the parts of all
     * balancers add up to the bound however unevenly traffic is distributed. The minimum that the
     * service rule always allows also applies when no warm endpoint has been seen.
     */
    private double budgetWorkPerMicro(Endpoint endpoint, double warmUpFactor) {
        RuleLimits rules = settings.current().ruleLimits();
        int processes = sibling.isServing() ? 2 : 1;
        double part =
                QUOTA_FRACTION
                        * rules.overloadCapacityMultiple()
                        * warmUpFactor
                        * warmWorkPerMicro
                        * settings.capacityWeight(endpoint)
                        / processes;
        double minimum =
                MIN_REQUESTS_PER_WINDOW
                        * traffic.meanCostMicros()
                        / rules.overloadWindowMicros()
                        / settings.balancerCount()
                        / processes;
        return Math.max(part, minimum);
    }

    /** Deducts the cost of a sent request from the endpoint's budget. */
    void spend(Endpoint endpoint, OpenRequest request) {
        endpoint.slowStart().workBucket().spend(budgetCost(request));
    }

    /** Credits the cost of a request that was not sent after all. */
    void refund(Endpoint endpoint, OpenRequest request) {
        endpoint.slowStart().workBucket().spend(-budgetCost(request));
    }

    /**
     * Returns the cost that is charged for a request: at least the mean cost, because a lower hint
     * may understate the work.
     */
    private double budgetCost(OpenRequest request) {
        return Math.max(request.costMicros(), traffic.meanCostMicros());
    }

    /**
     * Counts served work. While no warm endpoint has been seen, the cost of a served request is
     * also credited back: requests that arrive no faster than they are served cannot exceed the
     * capacity.
     */
    void recordServed(Endpoint endpoint, OpenRequest request, long nowMicros) {
        endpoint.slowStart().addServedWork(request.costMicros());
        if (warmWorkPerMicro <= 0 && !isWarm(endpoint, nowMicros)) {
            refund(endpoint, request);
        }
    }

    /**
     * Ends a measurement period: updates the served rate of each endpoint and, from these, the rate
     * of a warm endpoint.
     */
    void endPeriod(long nowMicros, long periodMicros) {
        double warmSum = 0;
        double warmCapacityWeights = 0;
        for (Endpoint endpoint : subsetting.baseSubset()) {
            endpoint.slowStart().endPeriod(periodMicros, SERVED_RATE_SMOOTHING);
            if (isWarm(endpoint, nowMicros)) {
                warmSum += endpoint.slowStart().servedWorkPerMicro();
                warmCapacityWeights += settings.capacityWeight(endpoint);
            }
        }
        if (warmCapacityWeights > 0) {
            warmWorkPerMicro = warmSum / warmCapacityWeights;
        }
    }
}
