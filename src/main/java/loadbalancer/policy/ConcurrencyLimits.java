package loadbalancer.policy;

import java.util.random.RandomGenerator;
import loadbalancer.policy.data.Jitter;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.ConcurrencyLimitState;
import loadbalancer.policy.state.Endpoint;

/**
 * An adaptive concurrency limit for each endpoint: additive increase, multiplicative decrease.
 *
 * <p>Decides how many requests this balancer may have in flight at an endpoint, and when an
 * endpoint is given none for a while. {@link EndpointCapacity} uses it where the load of peers is
 * unknown.
 *
 * <p>Inputs: the waiting time of responses against the class's latency objective (microseconds),
 * rejections by the endpoint, its reported utilisation, the number of balancers.
 *
 * <p>Never counts requests of other balancers, and never sheds a request.
 */
final class ConcurrencyLimits {
    /** Requests in flight by all balancers before anything is known: a short queue. */
    static final double INITIAL_TOTAL_IN_FLIGHT = 3;

    private static final double MIN_LIMIT = 0.05;

    /** In a large tier, a limit below it means that one request of each is too many. */
    private static final double REST_LIMIT = 0.15;

    /** Mean rest: an endpoint that is slow under concurrency needs some seconds to recover. */
    private static final long MEAN_REST_MICROS = 4_000_000;

    /** The limit after a rest, as a multiple of {@link #REST_LIMIT}. */
    private static final double LIMIT_AFTER_REST = 1.5;

    /** Bounds of the factor that is applied after too long a wait. */
    private static final double MAX_CUT_FACTOR = 0.8;

    private static final double MIN_CUT_FACTOR = 0.4;

    /** Factor after a rejection: a full queue is certain. */
    private static final double REJECTION_FACTOR = 0.7;

    /** Increase for as many timely responses as the limit allows in flight. */
    private static final double INCREASE_STEP = 0.3;

    private final DerivedSettings settings;
    private final UtilizationWeights weights;
    private final RandomGenerator random;

    ConcurrencyLimits(
            DerivedSettings settings, UtilizationWeights weights, RandomGenerator random) {
        this.settings = settings;
        this.weights = weights;
        this.random = random;
    }

    /** The limit where nothing is known. */
    double initialLimit() {
        return Math.max(MIN_LIMIT, INITIAL_TOTAL_IN_FLIGHT / settings.balancerCount());
    }

    void initialize(Endpoint endpoint) {
        endpoint.concurrencyLimit().setLimit(initialLimit());
    }

    /** Requests that this balancer may have in flight there; may be below 1. */
    double limit(Endpoint endpoint) {
        return endpoint.concurrencyLimit().limit();
    }

    /** Whether the endpoint is given no requests now. */
    boolean isResting(Endpoint endpoint, long nowMicros) {
        return endpoint.concurrencyLimit().isResting(nowMicros);
    }

    /**
     * Adjusts the limit by the waiting of a request that had a response or timed out. There is at
     * most one cut for the attempts sent since the last one; otherwise a single slow round would
     * close the endpoint.
     */
    void adjust(
            Endpoint endpoint,
            Attempt attempt,
            double waitingMicros,
            long latencyObjectiveMicros,
            long nowMicros) {
        ConcurrencyLimitState state = endpoint.concurrencyLimit();
        double targetMicros = settings.targetWaitingRatio() * latencyObjectiveMicros;
        if (waitingMicros > targetMicros) {
            if (attempt.sentAtMicros() >= state.lastCutAtMicros()) {
                double factor =
                        Math.max(
                                MIN_CUT_FACTOR,
                                Math.min(MAX_CUT_FACTOR, targetMicros / waitingMicros));
                state.cutLimit(Math.max(MIN_LIMIT, state.limit() * factor), nowMicros);
            }
        } else if (attempt.hasFilledLimit() && !weights.isSaturated(endpoint, nowMicros)) {
            state.setLimit(
                    state.limit() + INCREASE_STEP * Math.min(state.limit(), 1 / state.limit()));
        }
    }

    /** Lowers the limit after the endpoint has rejected a request for lack of capacity. */
    void recordRejection(Endpoint endpoint) {
        ConcurrencyLimitState state = endpoint.concurrencyLimit();
        double used = Math.min(state.limit(), endpoint.inFlight().requests() + 1);
        state.setLimit(Math.max(MIN_LIMIT, used * REJECTION_FACTOR));
    }

    /**
     * Gives an overloaded endpoint no requests for a while. A limit allows one request at least,
     * which is too many if many balancers send one each; an endpoint that is slow under concurrency
     * recovers only when it is nearly idle. The jitter keeps balancers from returning together.
     */
    void restIfOvercrowded(Endpoint endpoint, long nowMicros) {
        ConcurrencyLimitState state = endpoint.concurrencyLimit();
        if (state.limit() < REST_LIMIT
                && settings.balancerCount() > DerivedSettings.SMALL_TIER_BALANCERS
                && !settings.knowsPeerLoad()) {
            state.restUntil(nowMicros + Jitter.around(MEAN_REST_MICROS, random));
            state.setLimit(LIMIT_AFTER_REST * REST_LIMIT);
        }
    }
}
