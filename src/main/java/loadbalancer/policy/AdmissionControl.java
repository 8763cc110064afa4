package loadbalancer.policy;

import loadbalancer.RequestDescriptor;
import loadbalancer.policy.state.OpenRequest;

/**
 * Admission of a request that has arrived.
 *
 * <p>Decides whether it is sent at once, waits, or makes the queue overflow; then the request with
 * the lowest priority is rejected, which may be another one.
 *
 * <p>Inputs: the request; the rules that it is handed to, in this order.
 *
 * <p>Never rejects while the pending queue has space.
 */
final class AdmissionControl {
    private final RequestIntake intake;
    private final PendingRequests pendingRequests;
    private final LoadProbing probing;
    private final LoadShedder shedder;
    private final FinalResponses finalResponses;

    AdmissionControl(
            RequestIntake intake,
            PendingRequests pendingRequests,
            LoadProbing probing,
            LoadShedder shedder,
            FinalResponses finalResponses) {
        this.intake = intake;
        this.pendingRequests = pendingRequests;
        this.probing = probing;
        this.shedder = shedder;
        this.finalResponses = finalResponses;
    }

    /** Admits a request; its body may still be arriving. */
    void admit(RequestDescriptor arrived, boolean isBodyIncomplete, long nowMicros) {
        OpenRequest request = intake.open(arrived, isBodyIncomplete, nowMicros);
        pendingRequests.enqueue(request, nowMicros);
        probing.earnProbes(arrived.isRetry());
        probing.probeForPending(nowMicros);
        pendingRequests.sendPending(nowMicros);
        shedder.shedOverflow(nowMicros);
        finalResponses.respondWhereDue(nowMicros);
    }
}
