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
 * The current settings, and what follows from them alone.
 *
 * <p>Decides whether balancers exchange in-flight counts, whether endpoints are probed before a
 * pick and how often, and how long requests should wait at an endpoint.
 *
 * <p>Inputs: settings; prices are in points of the result, latency objectives in microseconds.
 *
 * <p>Never looks at traffic or endpoints, and never changes between two settings.
 */
final class DerivedSettings {
    /** Balancers; in a smaller tier this balancer's queue is nearly the whole queue. */
    static final double SMALL_TIER_BALANCERS = 4;

    /** Balancers to an endpoint: few enough to notify each other and to keep connections open. */
    static final int BALANCERS_PER_ENDPOINT = 12;

    /** Endpoints to a balancer: with one there is no choice. */
    static final int MIN_SUBSET_SIZE = 2;

    /** Target waiting in a large tier, as a fraction of the latency objective. */
    private static final double BASE_WAITING_RATIO = 0.1;

    /** Added to it in a small tier, where most of the waiting is due to this balancer. */
    private static final double SMALL_TIER_WAITING_RATIO = 0.2;

    /** What knowing the load of peers may cost, in points of the result. */
    private static final double PEER_LOAD_BUDGET_POINTS = 0.02;

    /** The price of a peer message is stated for this many bytes. */
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
     * @throws IllegalArgumentException with the field's name if one is invalid; the old settings
     *     then stay
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

    /** The settings as given. */
    LoadBalancerSettings current() {
        return settings;
    }

    /** The limits that apply to requests that arrive now. */
    LoadBalancerLimits limits() {
        return settings.limits();
    }

    /** Balancers of the tier, this one included. */
    int balancerCount() {
        return settings.balancerCount();
    }

    /** The shortest latency objective of all classes. */
    long minLatencyObjectiveMicros() {
        return settings.requestClasses().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElseThrow();
    }

    /** How long before a request's deadline its final response is given. */
    long deadlineMarginMicros() {
        return deadlineMarginMicros;
    }

    /** Target for the waiting at an endpoint, as a fraction of a class's latency objective. */
    double targetWaitingRatio() {
        return targetWaitingRatio;
    }

    /** The same for the class with the shortest latency objective. */
    long targetWaitingMicros() {
        return targetWaitingMicros;
    }

    /** How long a peer's in-flight message is believed. */
    double peerMessageLifetimeMicros() {
        return 2 * targetWaitingMicros / targetWaitingRatio;
    }

    /** How many endpoints may be probed for each request. */
    double probesPerRequest() {
        return probesPerRequest;
    }

    /** Whether balancers notify each other of what they have in flight. */
    boolean exchangesInFlight() {
        return exchangesInFlight;
    }

    /** Whether endpoints are probed for their load before a pick. */
    boolean probesBeforePick() {
        return probesBeforePick;
    }

    /** Whether the load of other balancers is known, by messages or by probes. */
    boolean knowsPeerLoad() {
        return exchangesInFlight || probesBeforePick;
    }

    /** An endpoint's capacity relative to others; 1 where none is stated. */
    double capacityWeight(Endpoint endpoint) {
        return settings.capacityWeightKind() == CapacityWeightKind.NONE
                        || !(endpoint.entry().capacityWeight() > 0)
                ? 1
                : endpoint.entry().capacityWeight();
    }
}
