package loadbalancer.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import loadbalancer.EndpointState;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.RuleLimits;

/**
 * Checks each attempt against the rules of the service when its first byte is sent, without
 * preventing it. It shares no state with the policy or {@link SendGuard}, so that it detects faults
 * in them. {@link Violations} counts and logs what it finds. Used on the event loop only; times are
 * in microseconds of the monotonic clock.
 */
final class SendAudit {
    /** Amount by which the time announced to an endpoint may exceed the time left. */
    private static final long ANNOUNCED_SLACK_MICROS = 150_000;

    /** Maximum pause of the process between reading the clock and writing. */
    private static final long MAX_HOLD_UP_MICROS = 150_000;

    /**
     * Time in sockets that the protocol allows for; added to the drain grace and the idempotency
     * window.
     */
    private static final long SOCKET_SLACK_MICROS = 50_000;

    private final Violations violations;
    private final LongSupplier nanoTime;
    private final Map<String, EndpointAudit> endpoints = new HashMap<>();
    private RuleLimits rules;
    private boolean hasListFromDiscovery;

    /** Largest number of attempts to one warmed-up endpoint in one window. */
    private int maxWarmAttempts;

    SendAudit(Violations violations, LongSupplier nanoTime, LoadBalancerSettings settings) {
        this.violations = violations;
        this.nanoTime = nanoTime;
        updateSettings(settings);
    }

    void updateSettings(LoadBalancerSettings next) {
        rules = next.ruleLimits();
    }

    private long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(nanoTime.getAsLong());
    }

    // Lists

    /**
     * Applies an endpoint list or changes to it.
     *
     * @param restored whether the list was stored before this process started
     */
    void updateEndpoints(EndpointListUpdate list, boolean restored) {
        long nowMicros = nowMicros();
        if (list.isComplete()) {
            Set<String> listedIds = new HashSet<>();
            list.entries().forEach(e -> listedIds.add(e.id()));
            endpoints.forEach(
                    (endpointId, endpoint) -> {
                        if (!listedIds.contains(endpointId)) {
                            recordNotReady(endpoint, nowMicros);
                        }
                    });
        }
        for (EndpointListUpdate.Entry e : list.entries()) {
            recordEntry(e, nowMicros);
        }
        hasListFromDiscovery |= !restored;
        endpoints
                .values()
                .removeIf(
                        endpoint ->
                                endpoint.notReadySinceMicros != EndpointAudit.NEVER
                                        && nowMicros - endpoint.notReadySinceMicros
                                                > TimeUnit.MINUTES.toMicros(1));
    }

    private void recordEntry(EndpointListUpdate.Entry entry, long nowMicros) {
        EndpointAudit endpoint = endpoints.get(entry.id());
        boolean isRestarted =
                endpoint != null
                        && entry.startedAtMillis() != 0
                        && entry.startedAtMillis() != endpoint.startedAtMillis;
        if (endpoint == null || isRestarted) {
            endpoint = new EndpointAudit();
            endpoint.startReportedAtMicros =
                    hasListFromDiscovery && entry.startedAtMillis() != 0
                            ? nowMicros
                            : EndpointAudit.NEVER;
            endpoints.put(entry.id(), endpoint);
        }
        endpoint.zone = entry.zone();
        endpoint.cell = entry.cell();
        endpoint.startedAtMillis = entry.startedAtMillis();
        if (entry.state() == EndpointState.READY) {
            endpoint.notReadySinceMicros = EndpointAudit.NEVER;
        } else {
            recordNotReady(endpoint, nowMicros);
        }
    }

    private static void recordNotReady(EndpointAudit endpoint, long nowMicros) {
        endpoint.notReadySinceMicros =
                endpoint.notReadySinceMicros == EndpointAudit.NEVER
                        ? nowMicros
                        : endpoint.notReadySinceMicros;
    }

    // Requests

    /** Checks that a request which gets a final response has had none before. */
    void responded(RequestAudit request) {
        if (request.responded() > 1) {
            report(Violation.ANSWERED_TWICE, request, "got more than one final response");
        }
    }

    /** Records that the body of a request is complete. */
    void bodyReceived(RequestAudit request) {
        request.bodyReceived(nowMicros());
    }

    /**
     * Checks an attempt whose first byte is sent now.
     *
     * @param endpointId id of the endpoint it is sent to
     * @param announcedMillis time left that is announced to the endpoint
     */
    AttemptAudit attemptBegins(RequestAudit request, String endpointId, long announcedMillis) {
        long nowMicros = nowMicros();
        EndpointAudit endpoint = endpoints.get(endpointId);
        AttemptAudit attempt =
                endpoint == null
                        ? new AttemptAudit(endpointId, "", -1, nowMicros)
                        : new AttemptAudit(endpointId, endpoint.zone, endpoint.cell, nowMicros);
        checkTimeLeft(request, endpointId, announcedMillis, nowMicros);
        checkRetry(request, attempt, nowMicros);
        checkEndpoint(request, endpointId, endpoint, nowMicros);
        request.attempts.add(attempt);
        return attempt;
    }

    private void checkTimeLeft(
            RequestAudit request, String endpointId, long announcedMillis, long nowMicros) {
        long leftMicros = request.timeLeftMicros(nowMicros);
        if (request.isClientDisconnected()) {
            report(
                    Violation.CLIENT_GONE,
                    request,
                    "client disconnected before the attempt to " + endpointId);
        }
        if (leftMicros < 0) {
            report(
                    Violation.DEADLINE_OVER,
                    request,
                    "attempt to "
                            + endpointId
                            + " began "
                            + -leftMicros
                            + " us after the deadline");
        }
        if (TimeUnit.MILLISECONDS.toMicros(announcedMillis)
                > Math.max(0, leftMicros) + ANNOUNCED_SLACK_MICROS) {
            report(
                    Violation.TOLD_TOO_MUCH,
                    request,
                    "attempt to "
                            + endpointId
                            + " announced "
                            + announcedMillis
                            + " ms with "
                            + leftMicros
                            + " us left");
        }
    }

    private void checkRetry(RequestAudit request, AttemptAudit next, long nowMicros) {
        Idempotency idempotency = request.requestClass.idempotency();
        for (AttemptAudit earlier : request.attempts) {
            if (earlier.isOutstanding()
                    && (!request.isHedgingAllowed || idempotency == Idempotency.NOT_IDEMPOTENT)) {
                report(
                        Violation.SECOND_COPY,
                        request,
                        "attempt to "
                                + next.endpointId
                                + " began with one outstanding to "
                                + earlier.endpointId);
            }
            if (earlier.mayHaveBeenExecuted()
                    && idempotency != Idempotency.IDEMPOTENT
                    && (idempotency == Idempotency.NOT_IDEMPOTENT
                            || !isWithinIdempotencyWindow(request, earlier, next, nowMicros))) {
                report(
                        Violation.REPEAT_NOT_ALLOWED,
                        request,
                        "attempt to "
                                + next.endpointId
                                + " began "
                                + (nowMicros - earlier.sentAtMicros)
                                + " us after one that may have been executed by "
                                + earlier.endpointId);
            }
        }
    }

    private static boolean isWithinIdempotencyWindow(
            RequestAudit request, AttemptAudit earlier, AttemptAudit next, long nowMicros) {
        IdempotencyScope scope = request.requestClass.idempotencyScope();
        boolean isInScope =
                scope == IdempotencyScope.ALL
                        || earlier.zone.equals(next.zone)
                                && (scope == IdempotencyScope.ZONE || earlier.cell == next.cell);
        return isInScope
                && nowMicros - earlier.sentAtMicros
                        <= request.requestClass.idempotencyWindowMicros() + SOCKET_SLACK_MICROS;
    }

    private void checkEndpoint(
            RequestAudit request, String endpointId, EndpointAudit endpoint, long nowMicros) {
        if (endpoint == null) {
            report(
                    Violation.DRAINING_UPSTREAM,
                    request,
                    "attempt to " + endpointId + ", which is in no endpoint list");
            return;
        }
        long graceMicros = rules.drainGraceMicros() + SOCKET_SLACK_MICROS - MAX_HOLD_UP_MICROS;
        if (endpoint.notReadySinceMicros != EndpointAudit.NEVER
                && nowMicros - endpoint.notReadySinceMicros > graceMicros) {
            report(
                    Violation.DRAINING_UPSTREAM,
                    request,
                    "attempt to "
                            + endpointId
                            + " began "
                            + (nowMicros - endpoint.notReadySinceMicros)
                            + " us after it stopped being ready");
        }
        checkSlowStart(request, endpointId, endpoint, nowMicros);
    }

    /**
     * Checks the slow-start quota, which holds for this process and each window of the settings.
     * The quota is the allowed multiple of the attempts to a warmed-up endpoint, scaled by the
     * warm-up factor. Attempts may exceed it by 3 standard deviations plus 3, for random variation.
     */
    private void checkSlowStart(
            RequestAudit request, String endpointId, EndpointAudit endpoint, long nowMicros) {
        int sent = endpoint.countAttempt(nowMicros / Math.max(1, rules.overloadWindowMicros()));
        if (!isInSlowStart(endpoint, nowMicros)) {
            maxWarmAttempts = Math.max(maxWarmAttempts, sent);
            return;
        }
        double ageRatio =
                (double) (nowMicros - endpoint.startReportedAtMicros) / rules.slowStartMicros();
        double warmUpFactor =
                rules.initialCapacityRatio() + (1 - rules.initialCapacityRatio()) * ageRatio;
        double quota = rules.overloadCapacityMultiple() * warmUpFactor * maxWarmAttempts;
        if (sent > quota + 3 * Math.sqrt(quota) + 3) {
            report(
                    Violation.SLOW_START_EXCEEDED,
                    request,
                    "attempt to "
                            + endpointId
                            + " is number "
                            + sent
                            + " of its window, above the slow-start quota of "
                            + quota);
        }
    }

    private boolean isInSlowStart(EndpointAudit endpoint, long nowMicros) {
        return endpoint.startReportedAtMicros != EndpointAudit.NEVER
                && nowMicros - endpoint.startReportedAtMicros < rules.slowStartMicros();
    }

    private void report(Violation kind, RequestAudit request, String evidence) {
        violations.report(
                kind,
                nanoTime.getAsLong(),
                "request "
                        + request.id
                        + " of class "
                        + request.requestClass.name()
                        + ": "
                        + evidence
                        + "; earlier attempts: "
                        + request.attempts.size());
    }
}
