package loadbalancer.policy;

import loadbalancer.LoadBalancerSettings;
import loadbalancer.RequestDescriptor;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.OpenRequests;
import loadbalancer.policy.state.TenantQuotas;
import loadbalancer.policy.state.Traffic;

/**
 * Opens an arriving request.
 *
 * <p>Sets its priority, its deadline and its latency objective. Inputs are the class's priority
 * weight, latency objective and typical rejection time, the request's cost, and the tenant's
 * remaining quota.
 *
 * <p>Rejects nothing: a request beyond its tenant's quota only has a lower priority, because this
 * balancer's part of a quota is an estimate.
 */
final class RequestIntake {
    /** Maximum time that the body of a request may take to arrive. */
    private static final long MAX_BODY_MICROS = 600_000_000;

    private final DerivedSettings settings;
    private final Traffic traffic;
    private final TenantQuotas tenantQuotas;
    private final OpenRequests openRequests;

    RequestIntake(
            DerivedSettings settings,
            Traffic traffic,
            TenantQuotas tenantQuotas,
            OpenRequests openRequests) {
        this.settings = settings;
        this.traffic = traffic;
        this.tenantQuotas = tenantQuotas;
        this.openRequests = openRequests;
    }

    /** Opens a request; its body may still be arriving. */
    OpenRequest open(RequestDescriptor arrived, boolean isBodyIncomplete, long nowMicros) {
        OpenRequest request =
                new OpenRequest(
                        arrived,
                        traffic.classStats(arrived.classIndex()),
                        settings.limits(),
                        openRequests.takeSequenceNumber(),
                        nowMicros);
        if (isBodyIncomplete) {
            request.awaitBody(nowMicros + MAX_BODY_MICROS);
        }
        if (arrived.isRetry()) {
            // The objective runs from the client's first request, which was probably rejected.
            request.shortenObjective((long) request.classStats().typicalRejectionMicros());
        }
        request.setPriority(priority(request, nowMicros));
        traffic.recordArrival(request.costMicros());
        openRequests.add(request);
        return request;
    }

    private double priority(OpenRequest request, long nowMicros) {
        LoadBalancerSettings current = settings.current();
        boolean isWithinQuota = tenantQuotas.tryAcquire(request.request().tenantIndex(), nowMicros);
        return request.requestClass().priorityWeight()
                / (current.isWeightPerWork() ? 1 : request.costMicros())
                * (isWithinQuota ? 1 : current.overQuotaWeightRatio());
    }
}
