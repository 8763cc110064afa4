package loadbalancer.policy;

import loadbalancer.AttemptOutcome;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PeerLoad;
import loadbalancer.policy.state.ServiceTimes;

/**
 * Evaluates the outcome of an attempt as information about its endpoint.
 *
 * <p>Decides which measurements and rules receive an outcome. Inputs are the outcome, the duration
 * of the attempt and the queue length known when it was sent.
 *
 * <p>Does not decide how the request proceeds: see {@link FailedAttempts}.
 */
final class OutcomeRecorder {
    /**
     * Queue length in mean requests below which an endpoint that rejects a request is assumed to be
     * draining rather than full.
     */
    private static final double MIN_FULL_QUEUE_LENGTH = 3;

    private final DerivedSettings settings;
    private final ServiceTimes times;
    private final ConcurrencyLimits limits;
    private final SlowStart slowStart;
    private final OutlierDetection outliers;
    private final PeerLoad peerLoad;
    private final LoadProbing probing;

    OutcomeRecorder(
            DerivedSettings settings,
            ServiceTimes times,
            ConcurrencyLimits limits,
            SlowStart slowStart,
            OutlierDetection outliers,
            PeerLoad peerLoad,
            LoadProbing probing) {
        this.settings = settings;
        this.times = times;
        this.limits = limits;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.peerLoad = peerLoad;
        this.probing = probing;
    }

    /** Records the outcome of an attempt with the given duration. */
    void record(
            OpenRequest request,
            Attempt attempt,
            AttemptOutcome outcome,
            long durationMicros,
            long nowMicros) {
        Endpoint endpoint = attempt.endpoint();
        switch (outcome) {
            case SUCCESS -> recordResponse(request, attempt, durationMicros, nowMicros);
            case TIMEOUT, CANCELLED ->
                    recordNoResponse(request, attempt, durationMicros, nowMicros);
            case CONNECT_FAILED ->
                    outliers.recordConnectFailure(endpoint, attempt.sentAtMicros(), nowMicros);
            case REJECTED -> recordRejection(request, attempt, nowMicros);
            case ERROR, CONNECTION_RESET -> outliers.recordError(endpoint, nowMicros);
            case NOT_SENT -> slowStart.refund(endpoint, request);
            default -> throw new IllegalArgumentException("unknown outcome: " + outcome);
        }
        limits.pauseIfOverloaded(endpoint, nowMicros);
    }

    private void recordResponse(
            OpenRequest request, Attempt attempt, long durationMicros, long nowMicros) {
        Endpoint endpoint = attempt.endpoint();
        outliers.recordResponse(endpoint, nowMicros);
        slowStart.recordServed(endpoint, request, nowMicros);
        times.recordResponse(endpoint, durationMicros, attempt.queueLengthAtSend());
        double waitingMicros =
                times.recordServiceTime(endpoint, request, durationMicros, nowMicros);
        limits.adjust(
                endpoint,
                attempt,
                waitingMicros,
                request.requestClass().latencyObjectiveMicros(),
                nowMicros);
        request.classStats().recordResponse(durationMicros);
    }

    /**
     * Records an attempt without a response as a lower bound of the response time; the endpoint may
     * still be working on it.
     */
    private void recordNoResponse(
            OpenRequest request, Attempt attempt, long waitedMicros, long nowMicros) {
        Endpoint endpoint = attempt.endpoint();
        times.recordNoResponse(endpoint, waitedMicros, attempt.queueLengthAtSend());
        double waitingMicros =
                waitedMicros - request.ownServiceMicros(times.minServiceTime(endpoint));
        limits.adjust(
                endpoint,
                attempt,
                waitingMicros,
                request.requestClass().latencyObjectiveMicros(),
                nowMicros);
    }

    private void recordRejection(OpenRequest request, Attempt attempt, long nowMicros) {
        Endpoint endpoint = attempt.endpoint();
        limits.recordRejection(endpoint);
        if (isQueueLengthReliable(endpoint, nowMicros)
                && attempt.queueLengthAtSend() < MIN_FULL_QUEUE_LENGTH) {
            // The endpoint is draining, and the endpoint list does not show it yet.
            outliers.eject(endpoint, nowMicros);
        } else {
            recordFullQueue(endpoint, request.requestClass().latencyObjectiveMicros(), nowMicros);
        }
    }

    private boolean isQueueLengthReliable(Endpoint endpoint, long nowMicros) {
        return settings.exchangesInFlight()
                || settings.probesBeforePick() && probing.isLoadFresh(endpoint, nowMicros);
    }

    /**
     * Records that the endpoint's queue is full. Assumes that peers have as many requests there as
     * the endpoint serves within one latency objective.
     */
    private void recordFullQueue(Endpoint endpoint, long latencyObjectiveMicros, long nowMicros) {
        double queueLength =
                latencyObjectiveMicros / Math.max(times.microsPerQueuedRequest(endpoint), 1);
        peerLoad.recordReport(
                endpoint, Math.max(peerLoad.reportedRequests(endpoint), queueLength), nowMicros);
    }
}
