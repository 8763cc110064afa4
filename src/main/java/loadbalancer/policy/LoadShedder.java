package loadbalancer.policy;

import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PendingRequestQueue;
import loadbalancer.policy.state.ServiceTimes;
import loadbalancer.policy.state.Traffic;

/**
 * Load shedding among pending requests.
 *
 * <p>Rejects pending requests before their deadline or lowers their priority. This applies to
 * requests that can no longer meet their latency objective, requests that have waited long while
 * another balancer may have capacity, and the lowest priorities when too many requests are pending.
 * Inputs are waiting times, the time left to the objective, typical response times, the value of a
 * late response and the number of balancers.
 *
 * <p>A request that was sent before or whose body is still arriving is never shed because of its
 * waiting time.
 */
final class LoadShedder {
    /**
     * Fraction of the time until its deadline that a request may wait unsent while other balancers
     * may be able to serve it.
     */
    private static final double MAX_WAITING_RATIO = 0.45;

    private final DerivedSettings settings;
    private final PendingRequestQueue queue;
    private final PendingRequests pendingRequests;
    private final Traffic traffic;
    private final ServiceTimes times;
    private final FinalResponses finalResponses;

    LoadShedder(
            DerivedSettings settings,
            PendingRequestQueue queue,
            PendingRequests pendingRequests,
            Traffic traffic,
            ServiceTimes times,
            FinalResponses finalResponses) {
        this.settings = settings;
        this.queue = queue;
        this.pendingRequests = pendingRequests;
        this.traffic = traffic;
        this.times = times;
        this.finalResponses = finalResponses;
    }

    /**
     * Rejects the requests with the lowest priority while more requests are pending than allowed.
     */
    void shedOverflow(long nowMicros) {
        while (queue.isOverfull()) {
            finalResponses.rejectOrFail(queue.last(), nowMicros);
        }
    }

    /** Rejects pending requests that have waited too long, or lowers their priority. */
    void shedLate(long nowMicros) {
        for (OpenRequest request : queue.copy()) {
            if (hasWaitedTooLong(request, nowMicros)) {
                finalResponses.rejectOrFail(request, nowMicros);
            } else if (willMissObjective(request, nowMicros)) {
                rejectOrLowerPriority(request, nowMicros);
            }
        }
    }

    /**
     * Returns whether the request should be rejected so that the client can try another balancer.
     * In a small tier this balancer's queue is most of the whole queue, so the wait would be no
     * shorter elsewhere.
     */
    private boolean hasWaitedTooLong(OpenRequest request, long nowMicros) {
        return settings.balancerCount() >= DerivedSettings.SMALL_TIER_BALANCERS
                && request.attemptCount() == 0
                && !request.isBodyIncomplete()
                && nowMicros - request.arrivedAtMicros()
                        > MAX_WAITING_RATIO * request.request().timeLeftMicros();
    }

    private boolean willMissObjective(OpenRequest request, long nowMicros) {
        return nowMicros + minResponseMicros(request) > request.objectiveAtMicros();
    }

    /** Returns a lower bound of the response time if the request were sent now. */
    private double minResponseMicros(OpenRequest request) {
        return settings.knowsPeerLoad()
                ? traffic.relativeCost(request) * times.typicalMicrosPerQueuedRequest()
                : Math.max(
                        request.ownServiceMicros(times.meanMinServiceTime()),
                        request.classStats().typicalResponseMicros());
    }

    private void rejectOrLowerPriority(OpenRequest request, long nowMicros) {
        double lateResponseRatio = request.requestClass().lateResponseRatio();
        if (lateResponseRatio <= 0) {
            finalResponses.rejectOrFail(request, nowMicros);
        } else if (!request.isLate()) {
            request.markLate();
            queue.remove(request);
            request.setPriority(request.priority() * lateResponseRatio);
            pendingRequests.enqueue(request, nowMicros);
        }
    }
}
