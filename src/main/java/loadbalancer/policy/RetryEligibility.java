package loadbalancer.policy;

import loadbalancer.EndpointDescriptor;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.RequestClass;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;

/**
 * The rules of the service on attempts.
 *
 * <p>Decides whether a request may be sent to an endpoint, for the first time or again, and whether
 * it may be rejected in place of failed.
 *
 * <p>Inputs: the request's attempts and whether they may have run, its class (idempotent, or with
 * an idempotency key that endpoints remember for some microseconds), its deadline.
 *
 * <p>Never asks whether an attempt is of use: health and load are looked at elsewhere.
 */
final class RetryEligibility {
    private final DerivedSettings settings;

    RetryEligibility(DerivedSettings settings) {
        this.settings = settings;
    }

    /** Whether an attempt at this endpoint is allowed now. */
    boolean maySend(OpenRequest request, Endpoint endpoint, long nowMicros) {
        if (request.isEnded()
                || request.isResponding()
                || request.attemptCount() >= request.limits().maxAttempts()
                || isResponseDue(request, nowMicros)) {
            return false;
        }
        if (request.attemptCount() == 0) {
            return true;
        }
        if (request.outstandingCount() > 0 && !request.limits().isHedgingAllowed()) {
            return false;
        }
        Attempt first = request.firstThatMayHaveRun();
        return first == null || mayRepeat(request.requestClass(), first, endpoint, nowMicros);
    }

    private boolean mayRepeat(
            RequestClass requestClass, Attempt first, Endpoint endpoint, long nowMicros) {
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        long rememberedMicros =
                requestClass.idempotencyWindowMicros() - settings.deadlineMarginMicros();
        return requestClass.idempotency() == Idempotency.KEYED
                && isSameScope(
                        requestClass.idempotencyScope(), first.endpoint().entry(), endpoint.entry())
                && nowMicros - first.sentAtMicros() < rememberedMicros;
    }

    private static boolean isSameScope(
            IdempotencyScope scope, EndpointDescriptor first, EndpointDescriptor second) {
        return scope == IdempotencyScope.ALL
                || scope == IdempotencyScope.ZONE && first.zoneIndex() == second.zoneIndex()
                || scope == IdempotencyScope.CELL && first.cellIndex() == second.cellIndex();
    }

    /** Whether the client may be notified that a retry is harmless. */
    boolean mayReject(OpenRequest request) {
        RequestClass requestClass = request.requestClass();
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.firstThatMayHaveRun() == null
                || requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.idempotencyScope() == IdempotencyScope.ALL;
    }

    /** When the final response has to be given: a margin before the client's deadline. */
    long responseDueMicros(OpenRequest request) {
        return request.deadlineMicros() - settings.deadlineMarginMicros();
    }

    /** Whether the final response has to be given now. */
    boolean isResponseDue(OpenRequest request, long nowMicros) {
        return nowMicros >= responseDueMicros(request);
    }
}
