package loadbalancer.policy;

import loadbalancer.EndpointDescriptor;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.RequestClass;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;

/**
 * The rules of the service for attempts and retries.
 *
 * <p>Decides whether a request may be sent to an endpoint, for the first time or again, and whether
 * it may be rejected rather than failed. Inputs are the request's attempts and whether they may
 * have been executed, the idempotency of its class, with the scope and lifetime of idempotency
 * keys, and its deadline.
 *
 * <p>Does not consider whether an attempt is useful: health and load are checked elsewhere.
 */
final class RetryEligibility {
    private final DerivedSettings settings;

    RetryEligibility(DerivedSettings settings) {
        this.settings = settings;
    }

    /** Returns whether an attempt at this endpoint is allowed now. */
    boolean maySend(OpenRequest request, Endpoint endpoint, long nowMicros) {
        if (request.isConcluded()
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
        Attempt first = request.firstPossiblyExecutedAttempt();
        return first == null || mayRepeat(request, first, endpoint, nowMicros);
    }

    private boolean mayRepeat(
            OpenRequest request, Attempt first, Endpoint endpoint, long nowMicros) {
        RequestClass requestClass = request.requestClass();
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        long retryWindowMicros =
                requestClass.idempotencyWindowMicros() - settings.deadlineMarginMicros();
        return requestClass.idempotency() == Idempotency.KEYED
                && isSameScope(
                        requestClass.idempotencyScope(), first.endpoint().entry(), endpoint.entry())
                && isStillInScope(request, endpoint)
                && nowMicros - first.sentAtMicros() < retryWindowMicros;
    }

    /**
     * Returns whether the process at the address of an endpoint is still the listed one, as far as
     * the request has shown. Another process may belong to another zone or cell.
     */
    private static boolean isStillInScope(OpenRequest request, Endpoint endpoint) {
        if (request.requestClass().idempotencyScope() == IdempotencyScope.ALL) {
            return true;
        }
        for (int i = 0; i < request.attemptCount(); i++) {
            Attempt attempt = request.attempt(i);
            if (attempt.endpoint() == endpoint && attempt.isConnectionLost()) {
                return false;
            }
        }
        return true;
    }

    private static boolean isSameScope(
            IdempotencyScope scope, EndpointDescriptor first, EndpointDescriptor second) {
        return scope == IdempotencyScope.ALL
                || scope == IdempotencyScope.ZONE && first.zoneIndex() == second.zoneIndex()
                || scope == IdempotencyScope.CELL && first.cellIndex() == second.cellIndex();
    }

    /** Returns whether the client may be informed that a retry is safe. */
    boolean mayReject(OpenRequest request) {
        RequestClass requestClass = request.requestClass();
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.firstPossiblyExecutedAttempt() == null
                || requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.idempotencyScope() == IdempotencyScope.ALL;
    }

    /** Returns when the final response is due: a margin before the client's deadline. */
    long responseDueMicros(OpenRequest request) {
        return request.deadlineMicros() - settings.deadlineMarginMicros();
    }

    /** Returns whether the final response is due now. */
    boolean isResponseDue(OpenRequest request, long nowMicros) {
        return nowMicros >= responseDueMicros(request);
    }
}
