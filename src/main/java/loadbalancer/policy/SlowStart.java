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
 * Slow start: a process that has just started warms up, and is overloaded by what it takes later.
 *
 * <p>Decides how much work an endpoint may get that is warming up: a token bucket of work, filled
 * by this balancer's part of what such an endpoint may take.
 *
 * <p>Inputs: the age of the process and the length of the warm-up (microseconds), the work that
 * warm endpoints serve for this balancer (microseconds of work a microsecond), the load of peers
 * where it is known.
 *
 * <p>{@link EndpointCapacity} scales the concurrency limit by the same factor.
 *
 * <p>Never limits a warm endpoint. Rejected requests do not count as served, or a burst of
 * rejections would raise the budget.
 */
final class SlowStart {
    /**
     * Fraction of this balancer's slow-start quota that it uses; other balancers' requests are not
     * visible.
     */
    private static final double QUOTA_FRACTION = 0.2;

    /** Minimum size of the bucket in mean requests; more than 1, so that one fits. */
    private static final double MIN_BUCKET_REQUESTS = 1.2;

    /** Requests in a window by all balancers that are always allowed; the rule allows 3. */
    private static final double MIN_REQUESTS_PER_WINDOW = 2;

    /** Of each period's rate into an endpoint's served rate. */
    private static final double SERVED_RATE_SMOOTHING = 0.08;

    private final DerivedSettings settings;
    private final Traffic traffic;
    private final PeerLoad peerLoad;
    private final Subsetting subsetting;
    private final SiblingProcess sibling;
    private final RandomGenerator random;

    /** Work that a warm endpoint of capacity weight 1 serves for this balancer; 0 while unknown. */
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
     * Starts with a random balance, so that balancers do not all send their first request at once.
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

    /** The fraction of its capacity that the endpoint has at its age; 1 once it is warm. */
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

    /** Whether the endpoint is warm, or has budget left for this request. Refills its bucket. */
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
     * This balancer's part of the work that the endpoint may take. An endpoint that is warming up
     * fails above {@code overloadCapacityMultiple} times its capacity. The part is that multiple of
     * what a warm endpoint serves for this balancer: over all balancers the parts add up to the
     * bound, however unevenly traffic is spread. The minimum that the rule always allows holds also
     * where no warm endpoint has been seen.
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

    /** Takes a sent request's cost from the endpoint's budget. */
    void spend(Endpoint endpoint, OpenRequest request) {
        endpoint.slowStart().workBucket().spend(budgetCost(request));
    }

    /** Returns the cost of a request that was not sent after all. */
    void refund(Endpoint endpoint, OpenRequest request) {
        endpoint.slowStart().workBucket().spend(-budgetCost(request));
    }

    /** At least a mean request: a hint below the mean may understate the cost. */
    private double budgetCost(OpenRequest request) {
        return Math.max(request.costMicros(), traffic.meanCostMicros());
    }

    /**
     * Counts served work. While no warm endpoint has been seen, the budget of a served request is
     * returned: requests that come no faster than they are served can't exceed the capacity.
     */
    void recordServed(Endpoint endpoint, OpenRequest request, long nowMicros) {
        endpoint.slowStart().addServedWork(request.costMicros());
        if (warmWorkPerMicro <= 0 && !isWarm(endpoint, nowMicros)) {
            refund(endpoint, request);
        }
    }

    /** Ends a measuring period: updates what each endpoint, and so a warm one, serves. */
    void endPeriod(long nowMicros, long periodMicros) {
        double warmSum = 0;
        double warmCapacityWeights = 0;
        for (Endpoint endpoint : subsetting.all()) {
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
