package loadbalancer.policy;

import java.util.random.RandomGenerator;
import loadbalancer.policy.data.Jitter;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.ConcurrencyLimitState;
import loadbalancer.policy.state.Endpoint;

/**
 * An adaptive concurrency limit for each endpoint, with additive increase and multiplicative
 * decrease (AIMD).
 *
 * <p>Decides how many requests this balancer may have in flight at an endpoint, and pauses requests
 * to an overloaded endpoint. {@link EndpointCapacity} applies the limit if the load of peers is
 * unknown. Inputs are the waiting time of responses relative to the class's latency objective,
 * rejections by the endpoint, its reported utilization and the number of balancers.
 *
 * <p>Does not count requests of other balancers, and sheds no request.
 */
final class ConcurrencyLimits {
    /** Initial number of requests in flight at an endpoint, over all balancers: a short queue. */
    static final double INITIAL_TOTAL_IN_FLIGHT = 3;

    private static final double MIN_LIMIT = 0.05;

    /**
     * Limit below which an endpoint is paused in a large tier: even one request from each balancer
     * is too many.
     */
    private static final double PAUSE_THRESHOLD = 0.15;

    /**
     * Mean duration of a pause. An endpoint that slows down under concurrency needs some seconds to
     * recover.
     */
    private static final long MEAN_PAUSE_MICROS = 4_000_000;

    /** Limit after a pause, as a multiple of {@link #PAUSE_THRESHOLD}. */
    private static final double LIMIT_AFTER_PAUSE_RATIO = 1.5;

    /** Upper bound of the decrease factor after too long a wait. */
    private static final double MAX_DECREASE_FACTOR = 0.8;

    private static final double MIN_DECREASE_FACTOR = 0.4;

    /** Decrease factor after a rejection, which shows that the queue is full. */
    private static final double REJECTION_DECREASE_FACTOR = 0.7;

    /**
     * Increase of the limit per round of timely responses, one round being as many responses as the
     * limit allows in flight.
     */
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

    /** Returns the limit of an endpoint without measurements. */
    double initialLimit() {
        return Math.max(MIN_LIMIT, INITIAL_TOTAL_IN_FLIGHT / settings.balancerCount());
    }

    void initialize(Endpoint endpoint) {
        endpoint.concurrencyLimit().setLimit(initialLimit());
    }

    /**
     * Returns how many requests this balancer may have in flight at the endpoint; may be below 1.
     */
    double limit(Endpoint endpoint) {
        return endpoint.concurrencyLimit().limit();
    }

    /** Returns whether the endpoint currently gets no requests. */
    boolean isPaused(Endpoint endpoint, long nowMicros) {
        return endpoint.concurrencyLimit().isPaused(nowMicros);
    }

    /**
     * Adjusts the limit by the waiting time of a request that had a response or timed out. Only
     * attempts that were sent after the last decrease can decrease the limit again; otherwise a
     * single slow round would reduce it to the minimum.
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
            if (attempt.sentAtMicros() >= state.lastDecreaseAtMicros()) {
                double factor =
                        Math.max(
                                MIN_DECREASE_FACTOR,
                                Math.min(MAX_DECREASE_FACTOR, targetMicros / waitingMicros));
                state.decreaseLimit(Math.max(MIN_LIMIT, state.limit() * factor), nowMicros);
            }
        } else if (attempt.hasReachedLimit() && !weights.isSaturated(endpoint, nowMicros)) {
            state.setLimit(
                    state.limit() + INCREASE_STEP * Math.min(state.limit(), 1 / state.limit()));
        }
    }

    /** Decreases the limit after the endpoint has rejected a request for lack of capacity. */
    void recordRejection(Endpoint endpoint) {
        ConcurrencyLimitState state = endpoint.concurrencyLimit();
        double used = Math.min(state.limit(), endpoint.inFlight().requests() + 1);
        state.setLimit(Math.max(MIN_LIMIT, used * REJECTION_DECREASE_FACTOR));
    }

    /**
     * Pauses requests to an overloaded endpoint. A limit always allows one request, which is too
     * many if many balancers send one each, and an endpoint that slows down under concurrency
     * recovers only when it is nearly idle. The jitter keeps balancers from resuming at the same
     * time.
     */
    void pauseIfOverloaded(Endpoint endpoint, long nowMicros) {
        ConcurrencyLimitState state = endpoint.concurrencyLimit();
        if (state.limit() < PAUSE_THRESHOLD
                && settings.balancerCount() > DerivedSettings.SMALL_TIER_BALANCERS
                && !settings.knowsPeerLoad()) {
            state.pauseUntil(nowMicros + Jitter.around(MEAN_PAUSE_MICROS, random));
            state.setLimit(LIMIT_AFTER_PAUSE_RATIO * PAUSE_THRESHOLD);
        }
    }
}
