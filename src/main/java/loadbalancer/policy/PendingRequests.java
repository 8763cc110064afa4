package loadbalancer.policy;

import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PendingRequestQueue;

/**
 * Requests that wait for an endpoint.
 *
 * <p>Decides the order in which pending requests are sent while endpoints have capacity: keyed
 * requests to their home endpoints first, then all by priority. Waits if a pick is waiting for
 * probe replies.
 *
 * <p>Sheds no request: see {@link LoadShedder}.
 */
final class PendingRequests {
    /** Number of requests without an available endpoint after which a pass over the queue stops. */
    private static final int MAX_UNSENT = 3;

    private final PendingRequestQueue queue;
    private final KeyAffinity keyAffinity;
    private final SweepTimer sweepTimer;
    private final LoadProbing probing;
    private final HomeEndpointSender homeSender;
    private final EndpointPicker picker;
    private final AttemptSender sender;

    PendingRequests(
            PendingRequestQueue queue,
            KeyAffinity keyAffinity,
            SweepTimer sweepTimer,
            LoadProbing probing,
            HomeEndpointSender homeSender,
            EndpointPicker picker,
            AttemptSender sender) {
        this.queue = queue;
        this.keyAffinity = keyAffinity;
        this.sweepTimer = sweepTimer;
        this.probing = probing;
        this.homeSender = homeSender;
        this.picker = picker;
        this.sender = sender;
    }

    /** Adds a request to the queue and assigns it the current home endpoint of its key. */
    void enqueue(OpenRequest request, long nowMicros) {
        request.setHomeEndpoint(keyAffinity.findHome(request, nowMicros));
        queue.add(request);
    }

    /** Sends pending requests to endpoints that have capacity. */
    void sendPending(long nowMicros) {
        if (!queue.isEmpty()) {
            sweepTimer.bringForward(nowMicros);
        }
        if (probing.isWaiting(nowMicros)) {
            return;
        }
        homeSender.sendToHomes(nowMicros);
        sendByPriority(nowMicros);
    }

    private void sendByPriority(long nowMicros) {
        int unsent = 0;
        OpenRequest request = queue.first();
        while (request != null && unsent < MAX_UNSENT) {
            OpenRequest next = queue.next(request);
            Endpoint endpoint = picker.pick(request, nowMicros);
            if (endpoint != null) {
                sender.send(request, endpoint, nowMicros);
            } else {
                unsent++;
            }
            request = next;
        }
    }
}
