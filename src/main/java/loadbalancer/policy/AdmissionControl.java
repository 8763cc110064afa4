package loadbalancer.policy;

import loadbalancer.LoadBalancerSettings;
import loadbalancer.RequestDescriptor;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PolicyState;

/** Takes a request in, with its worth and its times. */
final class AdmissionControl {
    private static final long LONGEST_BODY =
            600_000_000; // a request that is still arriving has so long

    static void take(PolicyState b, long now, RequestDescriptor request, boolean arriving) {
        LoadBalancerSettings settings = b.settings();
        OpenRequest r =
                new OpenRequest(
                        request,
                        b.traffic.classStats(request.classIndex()),
                        settings.limits(),
                        b.open.nextNumber(),
                        now);
        if (arriving) {
            r.arriving = true;
            r.deadline = now + LONGEST_BODY;
            r.aimAt = r.deadline;
        }
        if (request.isRetry()) {
            // Its aim runs from the first try, and a refusal is what mostly lies behind it.
            r.aimAt -= (long) r.classStats.refusedAfter();
        }
        // Beyond its tenant's part a request only loses its place among those held: that part is a
        // guess,
        // since traffic is not spread alike.
        r.value =
                r.cls.priorityWeight()
                        / (settings.isWeightPerWork() ? 1 : r.cost)
                        * (b.tenants.within(request.tenantIndex(), now)
                                ? 1
                                : settings.overQuotaWeightRatio());
        b.traffic.count(r.cost);
        b.open.add(r);
        PendingRequests.hold(b, r, now);
        LoadProbing.earn(b, request.isRetry());
        LoadProbing.ask(b, now);
        PendingRequests.pump(b, now);
        while (b.held.tooMany()) {
            FinalResponses.finish(b, b.held.last(), now);
        }
        FinalResponses.expire(b, now);
    }

    /** All of it has come: its time begins. */
    static void received(PolicyState b, long now, String request) {
        OpenRequest r = b.open.get(request);
        if (r == null || r.ended || !r.arriving) {
            return;
        }
        r.arriving = false;
        b.open.countFrom(r, now);
        for (Attempt t : r.attempts) {
            if (t.outstanding) {
                AttemptLifecycle.count(b, r, t, now);
            }
        }
        PendingRequests.pump(b, now);
        FinalResponses.expire(b, now);
    }
}
