package loadbalancer.policy;

import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadReport;
import loadbalancer.policy.data.ExponentialSmoothing;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.PeerLoad;
import loadbalancer.policy.state.PendingRequestQueue;

/**
 * Load probing before a pick. The endpoints of the subset are probed for their load, and the pick
 * waits for the replies.
 *
 * <p>Decides which endpoints to probe, how long a pick waits, and which endpoints are skipped
 * because their load is unknown. Inputs are the pending requests, the probe tokens that requests
 * have earned, the round-trip times of probes and the ages of load reports.
 *
 * <p>Sends no probe while no request is pending or if the settings do not allow probes. {@link
 * BackgroundProbing} probes independently of requests.
 */
final class LoadProbing {
    /** Token of the timer that ends the wait for probe replies. */
    static final String TIMER_TOKEN = "ask";

    private static final long INITIAL_ROUND_TRIP_MICROS = 5_000;

    /** Limit of the saved probe tokens, as a multiple of the tokens that one request earns. */
    private static final double MAX_SAVED_REQUESTS = 10;

    /** Smoothing factor for each measured round trip. */
    private static final double ROUND_TRIP_SMOOTHING = 0.15;

    /** Upper bound for the number of active requests in a report. */
    private static final int MAX_REPORTED_REQUESTS = 255;

    /** Time that a pick waits for replies, in round trips. */
    private static final int WAIT_ROUND_TRIPS = 2;

    /** Age up to which a report counts as fresh, in round trips. */
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

    /** Adds the probe tokens that an arriving request earns; a retry by the client earns one. */
    void addProbeTokens(boolean isClientRetry) {
        double probesPerRequest = settings.probesPerRequest();
        probeTokens =
                Math.min(
                        probeTokens + (isClientRetry ? 1 : probesPerRequest),
                        MAX_SAVED_REQUESTS * probesPerRequest);
    }

    /** Returns whether a pick must still wait for replies. */
    boolean isWaiting(long nowMicros) {
        return nowMicros < waitUntilMicros;
    }

    /** Probes the subset for the pending requests, unless earlier probes are still awaited. */
    void probeForPending(long nowMicros) {
        if (!settings.probesBeforePick() || isWaiting(nowMicros) || pendingQueue.isEmpty()) {
            return;
        }
        boolean isPanicMode = outliers.isPanicMode(nowMicros);
        for (Endpoint endpoint : subsetting.candidates(nowMicros)) {
            if (!isLoadKnown(endpoint, nowMicros)
                    && (isPanicMode || !outliers.isEjected(endpoint, nowMicros))
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
     * Returns whether the load is fresh, or the latest probe is recent enough that its reply may
     * still arrive.
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

    /** Returns whether the last load report of the endpoint is still fresh. */
    boolean isLoadFresh(Endpoint endpoint, long nowMicros) {
        return nowMicros - peerLoad.reportedAtMicros(endpoint)
                <= FRESH_ROUND_TRIPS * roundTripMicros;
    }

    /**
     * Returns whether probing is in use and the endpoint's load is unknown, because it did not
     * reply or because no probe tokens were left. Such endpoints are skipped: under high load,
     * requests sent without a known load would overload every endpoint.
     */
    boolean isLoadMissing(Endpoint endpoint, long nowMicros) {
        return settings.probesBeforePick() && !isLoadFresh(endpoint, nowMicros);
    }

    /** Processes the reply to a probe; {@code report} may be null. */
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

    /** Ends the wait and returns true if all probed endpoints of the subset have replied. */
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
