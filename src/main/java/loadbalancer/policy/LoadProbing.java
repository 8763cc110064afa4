package loadbalancer.policy;

import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadReport;
import loadbalancer.policy.data.ExponentialSmoothing;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.PeerLoad;
import loadbalancer.policy.state.PendingRequestQueue;

/**
 * Probing before a pick: the endpoints of the subset are asked for their load, and the pick waits
 * for their replies.
 *
 * <p>Decides which endpoints are probed, how long a pick waits, and which endpoints are left out
 * because their load is unknown.
 *
 * <p>Inputs: pending requests, probes that requests have paid for (tokens), round trips of probes
 * and ages of load reports in microseconds.
 *
 * <p>Never probes while no request is pending or where the settings do not allow for it; {@link
 * BackgroundProbing} does that.
 */
final class LoadProbing {
    /** Token of the timer that ends a wait for replies. */
    static final String TIMER_TOKEN = "ask";

    private static final long INITIAL_ROUND_TRIP_MICROS = 5_000;

    /** Requests whose unused probes are saved for later ones. */
    private static final double MAX_SAVED_REQUESTS = 10;

    /** Of each round trip. */
    private static final double ROUND_TRIP_SMOOTHING = 0.15;

    /** Reported requests beyond this make no difference. */
    private static final int MAX_REPORTED_REQUESTS = 255;

    /** How long a pick waits for replies, in round trips. */
    private static final int WAIT_ROUND_TRIPS = 2;

    /** Age up to which a report is fresh, in round trips. */
    private static final int FRESH_ROUND_TRIPS = 4;

    private final DerivedSettings settings;
    private final PeerLoad peerLoad;
    private final Subsetting subsetting;
    private final OutlierDetection outliers;
    private final PendingRequestQueue pendingQueue;
    private final EndpointCapacity capacity;
    private final LoadBalancerActions actions;
    private long waitUntilMicros;
    private double probeTokens;
    private double roundTripMicros = INITIAL_ROUND_TRIP_MICROS;

    LoadProbing(
            DerivedSettings settings,
            PeerLoad peerLoad,
            Subsetting subsetting,
            OutlierDetection outliers,
            PendingRequestQueue pendingQueue,
            EndpointCapacity capacity,
            LoadBalancerActions actions) {
        this.settings = settings;
        this.peerLoad = peerLoad;
        this.subsetting = subsetting;
        this.outliers = outliers;
        this.pendingQueue = pendingQueue;
        this.capacity = capacity;
        this.actions = actions;
    }

    /** Adds the probes that an arriving request pays for; a client's retry pays for one. */
    void earnProbes(boolean isClientRetry) {
        double probesPerRequest = settings.probesPerRequest();
        probeTokens =
                Math.min(
                        probeTokens + (isClientRetry ? 1 : probesPerRequest),
                        MAX_SAVED_REQUESTS * probesPerRequest);
    }

    /** Whether a pick has to wait for replies. */
    boolean isWaiting(long nowMicros) {
        return nowMicros < waitUntilMicros;
    }

    /** Probes the subset for the pending requests, unless replies are still awaited. */
    void probeForPending(long nowMicros) {
        if (!settings.probesBeforePick() || isWaiting(nowMicros) || pendingQueue.isEmpty()) {
            return;
        }
        boolean isPanicking = outliers.isPanicking(nowMicros);
        for (Endpoint endpoint : subsetting.candidates(nowMicros)) {
            if (!isLoadKnown(endpoint, nowMicros)
                    && (isPanicking || !outliers.isEjected(endpoint, nowMicros))
                    && probeTokens >= 1
                    && capacity.hasCapacity(endpoint, pendingQueue.first(), nowMicros)) {
                probe(endpoint, nowMicros);
            }
        }
        if (waitUntilMicros > nowMicros) {
            actions.scheduleTimer(TIMER_TOKEN, waitUntilMicros - nowMicros);
        }
    }

    /**
     * Whether the load is fresh, or a probe without a reply was sent so lately that one may come.
     */
    private boolean isLoadKnown(Endpoint endpoint, long nowMicros) {
        long probedAtMicros = endpoint.probing().lastProbedAtMicros();
        return isLoadFresh(endpoint, nowMicros)
                || probedAtMicros > peerLoad.reportedAtMicros(endpoint)
                        && nowMicros - probedAtMicros < settings.targetWaitingMicros();
    }

    private void probe(Endpoint endpoint, long nowMicros) {
        probeTokens--;
        endpoint.probing().recordProbe(nowMicros);
        actions.probeEndpoint(endpoint.id());
        waitUntilMicros = nowMicros + (long) (WAIT_ROUND_TRIPS * roundTripMicros);
    }

    /** Whether the endpoint's load was reported as lately as probing allows for. */
    boolean isLoadFresh(Endpoint endpoint, long nowMicros) {
        return nowMicros - peerLoad.reportedAtMicros(endpoint)
                <= FRESH_ROUND_TRIPS * roundTripMicros;
    }

    /**
     * Whether the endpoint's load should be known and is not: it did not reply, or there were no
     * tokens left. Under overload, requests sent without knowledge would crowd every endpoint.
     */
    boolean isLoadMissing(Endpoint endpoint, long nowMicros) {
        return settings.probesBeforePick() && !isLoadFresh(endpoint, nowMicros);
    }

    /** Takes the reply to a probe; the report may be null. */
    void recordReply(Endpoint endpoint, LoadReport report, long nowMicros) {
        if (!settings.probesBeforePick()
                || report == null
                || !(report.activeRequests() >= 0)
                || !endpoint.probing().wasProbed()) {
            return;
        }
        double peerRequests =
                Math.min(report.activeRequests(), MAX_REPORTED_REQUESTS)
                        - endpoint.inFlight().requests();
        peerLoad.recordReport(endpoint, Math.max(0, peerRequests), nowMicros);
        double smoothedMicros =
                ExponentialSmoothing.smooth(
                        roundTripMicros,
                        nowMicros - endpoint.probing().lastProbedAtMicros(),
                        ROUND_TRIP_SMOOTHING);
        roundTripMicros = Math.max(settings.current().tickMicros(), smoothedMicros);
    }

    /** Ends the wait and returns true if all endpoints that were probed have replied. */
    boolean endWaitIfAllReplied(long nowMicros) {
        if (!settings.probesBeforePick()) {
            return false;
        }
        for (Endpoint endpoint : subsetting.candidates(nowMicros)) {
            if (peerLoad.reportedAtMicros(endpoint) < endpoint.probing().lastProbedAtMicros()) {
                return false;
            }
        }
        waitUntilMicros = nowMicros;
        return true;
    }
}
