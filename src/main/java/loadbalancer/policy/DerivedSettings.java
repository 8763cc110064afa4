package loadbalancer.policy;

import loadbalancer.CapacityWeightKind;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReportSource;
import loadbalancer.RequestClass;
import loadbalancer.SettingsValidator;
import loadbalancer.policy.data.InFlightMessage;
import loadbalancer.policy.state.Endpoint;

/**
 * The current settings and the values that follow from them alone.
 *
 * <p>Decides whether balancers exchange in-flight counts, whether and how often endpoints are
 * probed before a pick, and the target for the waiting time at an endpoint. Prices are in score
 * points.
 *
 * <p>Does not depend on traffic or endpoints, and changes only when the settings are replaced.
 */
final class DerivedSettings {
    /**
     * Number of balancers at which a tier is no longer small. In a smaller tier this balancer's
     * queue is nearly the whole queue.
     */
    static final double SMALL_TIER_BALANCERS = 4;

    /**
     * Target number of balancers per endpoint; low enough that they can notify each other and keep
     * connections open.
     */
    static final int BALANCERS_PER_ENDPOINT = 12;

    /** Minimum number of endpoints per balancer; with a single one there is no choice. */
    static final int MIN_SUBSET_SIZE = 2;

    /** Target for the waiting time in a large tier, as a fraction of the latency objective. */
    private static final double BASE_WAITING_RATIO = 0.1;

    /**
     * Added to the target in a small tier, where most of the waiting is caused by this balancer's
     * own requests.
     */
    private static final double SMALL_TIER_WAITING_RATIO = 0.2;

    /** Maximum cost of learning the load of peers, in score points. */
    private static final double PEER_LOAD_BUDGET_POINTS = 0.02;

    /** Message size in bytes to which the configured price of a peer message refers. */
    private static final int PRICED_MESSAGE_BYTES = 256;

    /** Messages per request: one when it is sent and one when it ends. */
    private static final double MESSAGES_PER_REQUEST = 2.0;

    private static final double MIN_PROBE_PRICE_POINTS = 1e-6;

    private LoadBalancerSettings settings;
    private long deadlineMarginMicros;
    private double targetWaitingRatio;
    private long targetWaitingMicros;
    private double probesPerRequest;
    private boolean exchangesInFlight;
    private boolean probesBeforePick;

    /**
     * Replaces the settings.
     *
     * @throws IllegalArgumentException with the name of the field if a value is invalid; the old
     *     settings then stay in force
     */
    void update(LoadBalancerSettings next) {
        SettingsValidator.check(next);
        settings = next;
        deadlineMarginMicros = next.deadlineMarginMicros();
        targetWaitingRatio =
                BASE_WAITING_RATIO
                        + SMALL_TIER_WAITING_RATIO
                                * Math.min(1, SMALL_TIER_BALANCERS / next.balancerCount());
        targetWaitingMicros = (long) (targetWaitingRatio * minLatencyObjectiveMicros());
        probesPerRequest =
                PEER_LOAD_BUDGET_POINTS / Math.max(next.prices().probe(), MIN_PROBE_PRICE_POINTS);
        exchangesInFlight = isExchangeAffordable(next);
        probesBeforePick = isProbingAffordable(next);
    }

    private static boolean isExchangeAffordable(LoadBalancerSettings settings) {
        double pointsPerRequest =
                MESSAGES_PER_REQUEST
                        * BALANCERS_PER_ENDPOINT
                        * InFlightMessage.BYTES
                        / PRICED_MESSAGE_BYTES
                        * settings.prices().peerMessage();
        return settings.limits().isPeerMessagingAllowed()
                && hasPeers(settings)
                && pointsPerRequest < PEER_LOAD_BUDGET_POINTS;
    }

    private boolean isProbingAffordable(LoadBalancerSettings settings) {
        return settings.limits().isProbingAllowed()
                && settings.loadReportSource() == LoadReportSource.PROBES
                && probesPerRequest > MIN_SUBSET_SIZE
                && hasPeers(settings);
    }

    private static boolean hasPeers(LoadBalancerSettings settings) {
        return settings.balancerCount() > 1;
    }

    /** Returns the settings as configured. */
    LoadBalancerSettings current() {
        return settings;
    }

    /** Returns the limits that apply to requests arriving now. */
    LoadBalancerLimits limits() {
        return settings.limits();
    }

    /** Returns the number of balancers in the tier, including this one. */
    int balancerCount() {
        return settings.balancerCount();
    }

    /** Returns the shortest latency objective of all classes. */
    long minLatencyObjectiveMicros() {
        return settings.requestClasses().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElseThrow();
    }

    /** Returns how long before a request's deadline its final response is given. */
    long deadlineMarginMicros() {
        return deadlineMarginMicros;
    }

    /**
     * Returns the target for the waiting time at an endpoint, as a fraction of the class's latency
     * objective.
     */
    double targetWaitingRatio() {
        return targetWaitingRatio;
    }

    /**
     * Returns the target for the waiting time at an endpoint, for the class with the shortest
     * latency objective.
     */
    long targetWaitingMicros() {
        return targetWaitingMicros;
    }

    /** Returns how long a peer's in-flight message stays valid. */
    double peerMessageLifetimeMicros() {
        return 2 * targetWaitingMicros / targetWaitingRatio;
    }

    /** Returns how many endpoints may be probed per request. */
    double probesPerRequest() {
        return probesPerRequest;
    }

    /** Returns whether balancers send each other their in-flight counts. */
    boolean exchangesInFlight() {
        return exchangesInFlight;
    }

    /** Returns whether endpoints are probed for their load before a pick. */
    boolean probesBeforePick() {
        return probesBeforePick;
    }

    /** Returns whether the load of other balancers is known, through messages or probes. */
    boolean knowsPeerLoad() {
        return exchangesInFlight || probesBeforePick;
    }

    /** Returns an endpoint's capacity relative to others; 1 if none is stated. */
    double capacityWeight(Endpoint endpoint) {
        return settings.capacityWeightKind() == CapacityWeightKind.NONE
                        || !(endpoint.entry().capacityWeight() > 0)
                ? 1
                : endpoint.entry().capacityWeight();
    }
}
