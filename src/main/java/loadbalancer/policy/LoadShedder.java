package loadbalancer.policy;

import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PendingRequestQueue;
import loadbalancer.policy.state.ServiceTimes;
import loadbalancer.policy.state.Traffic;

/**
 * Load shedding among pending requests.
 *
 * <p>Decides which pending requests are rejected before their deadline, and which get a lower
 * priority: those that can't meet their latency objective, those that have waited for long where
 * another balancer may have capacity, and the lowest priorities where too many are pending.
 *
 * <p>Inputs: waiting time, time left to the objective and usual response times in microseconds; the
 * priority of a late request; the number of balancers.
 *
 * <p>Never sheds a request for waiting that has been sent before, or whose body is still arriving.
 */
final class LoadShedder {
    /** Fraction of its time that a request may wait unsent where other balancers may serve it. */
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

    /** Rejects the lowest priorities while more requests are pending than allowed. */
    void shedOverflow(long nowMicros) {
        while (queue.isOverfull()) {
            finalResponses.rejectOrFail(queue.last(), nowMicros);
        }
    }

    /** Rejects or lowers pending requests that have waited too long. */
    void shedLate(long nowMicros) {
        for (OpenRequest request : queue.copy()) {
            if (hasWaitedTooLong(request, nowMicros)) {
                finalResponses.rejectOrFail(request, nowMicros);
            } else if (willMissObjective(request, nowMicros)) {
                rejectOrLower(request, nowMicros);
            }
        }
    }

    /**
     * In a small tier this balancer's queue is the whole queue, and waiting elsewhere no shorter.
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

    /** A lower bound of the response time if the request were sent now. */
    private double minResponseMicros(OpenRequest request) {
        return settings.knowsPeerLoad()
                ? traffic.relativeCost(request) * times.typicalPaceMicros()
                : Math.max(
                        request.ownServiceMicros(times.meanMinServiceTime()),
                        request.classStats().typicalResponseMicros());
    }

    private void rejectOrLower(OpenRequest request, long nowMicros) {
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
