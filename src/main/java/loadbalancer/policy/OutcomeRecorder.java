package loadbalancer.policy;

import loadbalancer.AttemptOutcome;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PeerLoad;
import loadbalancer.policy.state.ServiceTimes;

/**
 * What the outcome of an attempt says about its endpoint.
 *
 * <p>Decides which measurements and rules an outcome goes to.
 *
 * <p>Inputs: the outcome and the attempt's time in microseconds; the queue length that was known
 * when it was sent, in mean requests.
 *
 * <p>Never decides about the request: see {@link FailedAttempts}.
 */
final class OutcomeRecorder {
    /** Mean requests; an endpoint that rejects with a shorter queue is not full but draining. */
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

    /** Records the outcome of an attempt that took this long. */
    void record(
            OpenRequest request,
            Attempt attempt,
            AttemptOutcome outcome,
            long tookMicros,
            long nowMicros) {
        Endpoint endpoint = attempt.endpoint();
        switch (outcome) {
            case SUCCESS -> recordResponse(request, attempt, tookMicros, nowMicros);
            case TIMEOUT, CANCELLED -> recordNoResponse(request, attempt, tookMicros, nowMicros);
            case CONNECT_FAILED ->
                    outliers.recordConnectFailure(endpoint, attempt.sentAtMicros(), nowMicros);
            case REJECTED -> recordRejection(request, attempt, nowMicros);
            case ERROR, CONNECTION_RESET -> outliers.recordError(endpoint, nowMicros);
            case NOT_SENT -> slowStart.refund(endpoint, request);
            default -> throw new IllegalArgumentException("unknown outcome: " + outcome);
        }
        limits.restIfOvercrowded(endpoint, nowMicros);
    }

    private void recordResponse(
            OpenRequest request, Attempt attempt, long tookMicros, long nowMicros) {
        Endpoint endpoint = attempt.endpoint();
        outliers.recordResponse(endpoint, nowMicros);
        slowStart.recordServed(endpoint, request, nowMicros);
        times.recordResponse(endpoint, tookMicros, attempt.queueLengthAtSend());
        double waitingMicros = times.recordWaitingMicros(endpoint, request, tookMicros, nowMicros);
        limits.adjust(
                endpoint,
                attempt,
                waitingMicros,
                request.requestClass().latencyObjectiveMicros(),
                nowMicros);
        request.classStats().recordResponse(tookMicros);
    }

    /** The request has waited at least this long; the endpoint may still work on it. */
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
            // Draining, and the endpoint list does not have it yet.
            outliers.eject(endpoint, nowMicros);
        } else {
            recordFullQueue(endpoint, request.requestClass().latencyObjectiveMicros(), nowMicros);
        }
    }

    private boolean isQueueLengthReliable(Endpoint endpoint, long nowMicros) {
        return settings.exchangesInFlight()
                || settings.probesBeforePick() && probing.isLoadFresh(endpoint, nowMicros);
    }

    /** Peers are taken to have as much there as the endpoint serves in a latency objective. */
    private void recordFullQueue(Endpoint endpoint, long latencyObjectiveMicros, long nowMicros) {
        double queueLength = latencyObjectiveMicros / Math.max(times.paceMicros(endpoint), 1);
        peerLoad.recordReport(
                endpoint, Math.max(peerLoad.reportedRequests(endpoint), queueLength), nowMicros);
    }
}
