package loadbalancer.policy;

import loadbalancer.RequestDescriptor;
import loadbalancer.policy.state.OpenRequest;

/**
 * Admission of an arriving request.
 *
 * <p>A request is sent at once or becomes pending. If the pending queue then exceeds its limit, the
 * request with the lowest priority is rejected, which may be a different one. The work is done by
 * the rules that this class calls, in order.
 *
 * <p>Nothing is rejected while the pending queue has space.
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
        probing.addProbeTokens(arrived.isRetry());
        probing.probeForPending(nowMicros);
        pendingRequests.sendPending(nowMicros);
        shedder.shedOverflow(nowMicros);
        finalResponses.respondWhereDue(nowMicros);
    }
}
