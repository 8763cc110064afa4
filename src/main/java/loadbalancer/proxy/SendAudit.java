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
 * Checks each attempt against the service's rules at the moment of its first byte, and changes
 * nothing. It shares no state with the policy or the guards, so that a fault there shows here; what
 * it finds is counted and logged by {@link Violations}. Used on the event loop only; times are
 * microseconds of the monotonic clock.
 */
final class SendAudit {
    /** By how much the time announced to an endpoint may exceed what is left. */
    private static final long ANNOUNCED_SLACK_MICROS = 150_000;

    /** How long the process may be held up between reading the clock and writing. */
    private static final long MAX_HOLD_UP_MICROS = 150_000;

    /** Allowance of the protocol for time on sockets, added to every limit. */
    private static final long SOCKET_SLACK_MICROS = 50_000;

    private final Violations violations;
    private final LongSupplier nanoTime;
    private final Map<String, UpstreamAudit> upstreams = new HashMap<>();
    private RuleLimits rules;
    private boolean hasListFromDiscovery;

    /** The most attempts that a warm endpoint got in one window. */
    private int maxAttemptsWhenWarm;

    SendAudit(Violations violations, LongSupplier nanoTime, LoadBalancerSettings settings) {
        this.violations = violations;
        this.nanoTime = nanoTime;
        updateSettings(settings);
    }

    void updateSettings(LoadBalancerSettings next) {
        rules = next.ruleLimits();
    }

    private long now() {
        return TimeUnit.NANOSECONDS.toMicros(nanoTime.getAsLong());
    }

    // Lists

    /** Applies a list, or changes of it; {@code restored} if it is from before the start. */
    void updateEndpoints(EndpointListUpdate list, boolean restored) {
        long now = now();
        if (list.isComplete()) {
            Set<String> named = new HashSet<>();
            list.entries().forEach(e -> named.add(e.id()));
            upstreams.forEach(
                    (id, upstream) -> {
                        if (!named.contains(id)) {
                            close(upstream, now);
                        }
                    });
        }
        for (EndpointListUpdate.Entry e : list.entries()) {
            recordEntry(e, now);
        }
        hasListFromDiscovery |= !restored;
        upstreams
                .values()
                .removeIf(
                        u ->
                                u.closedAtMicros != UpstreamAudit.NEVER
                                        && now - u.closedAtMicros > TimeUnit.MINUTES.toMicros(1));
    }

    private void recordEntry(EndpointListUpdate.Entry entry, long now) {
        UpstreamAudit upstream = upstreams.get(entry.id());
        boolean another =
                upstream != null
                        && entry.startedAtMillis() != 0
                        && entry.startedAtMillis() != upstream.startedAtMillis;
        if (upstream == null || another) {
            upstream = new UpstreamAudit();
            upstream.startReportedAtMicros =
                    hasListFromDiscovery && entry.startedAtMillis() != 0
                            ? now
                            : UpstreamAudit.NEVER;
            upstreams.put(entry.id(), upstream);
        }
        upstream.zone = entry.zone();
        upstream.cell = entry.cell();
        upstream.startedAtMillis = entry.startedAtMillis();
        if (entry.state() == EndpointState.READY) {
            upstream.closedAtMicros = UpstreamAudit.NEVER;
        } else {
            close(upstream, now);
        }
    }

    private static void close(UpstreamAudit upstream, long now) {
        upstream.closedAtMicros =
                upstream.closedAtMicros == UpstreamAudit.NEVER ? now : upstream.closedAtMicros;
    }

    // Requests

    /** A request gets a final answer. */
    void responded(RequestAudit request) {
        if (request.responded() > 1) {
            report(Violation.ANSWERED_TWICE, request, "answered again");
        }
    }

    /** The body of a request is complete. */
    void bodyReceived(RequestAudit request) {
        request.bodyReceived(now());
    }

    /** The first byte of an attempt goes out now, and announces that time to its endpoint. */
    AttemptAudit attemptBegins(RequestAudit request, String id, long announcedMillis) {
        long now = now();
        UpstreamAudit upstream = upstreams.get(id);
        AttemptAudit attempt =
                upstream == null
                        ? new AttemptAudit(id, "", -1, now)
                        : new AttemptAudit(id, upstream.zone, upstream.cell, now);
        checkClient(request, id, announcedMillis, now);
        checkRepeat(request, attempt, now);
        checkUpstream(request, id, upstream, now);
        request.attempts.add(attempt);
        return attempt;
    }

    private void checkClient(RequestAudit request, String id, long announcedMillis, long now) {
        long left = request.timeLeftMicros(now);
        if (request.isClientDisconnected()) {
            report(Violation.CLIENT_GONE, request, "to " + id);
        }
        if (left < 0) {
            report(Violation.DEADLINE_OVER, request, "to " + id + ", " + -left + " us late");
        }
        if (TimeUnit.MILLISECONDS.toMicros(announcedMillis)
                > Math.max(0, left) + ANNOUNCED_SLACK_MICROS) {
            report(
                    Violation.TOLD_TOO_MUCH,
                    request,
                    "to " + id + ", " + announcedMillis + " ms of " + left + " us");
        }
    }

    private void checkRepeat(RequestAudit request, AttemptAudit next, long now) {
        Idempotency effect = request.requestClass.idempotency();
        for (AttemptAudit earlier : request.attempts) {
            if (earlier.isOut()
                    && (!request.secondCopies || effect == Idempotency.NOT_IDEMPOTENT)) {
                report(
                        Violation.SECOND_COPY,
                        request,
                        "to " + next.upstream + " beside " + earlier.upstream);
            }
            if (earlier.mayHaveRun()
                    && effect != Idempotency.IDEMPOTENT
                    && (effect == Idempotency.NOT_IDEMPOTENT
                            || !isWithinIdempotencyWindow(request, earlier, next, now))) {
                report(
                        Violation.REPEAT_NOT_ALLOWED,
                        request,
                        "to "
                                + next.upstream
                                + " "
                                + (now - earlier.sentAt)
                                + " us after "
                                + earlier.upstream);
            }
        }
    }

    private static boolean isWithinIdempotencyWindow(
            RequestAudit request, AttemptAudit earlier, AttemptAudit next, long now) {
        IdempotencyScope scope = request.requestClass.idempotencyScope();
        boolean reached =
                scope == IdempotencyScope.ALL
                        || earlier.zone.equals(next.zone)
                                && (scope == IdempotencyScope.ZONE || earlier.cell == next.cell);
        return reached
                && now - earlier.sentAt
                        <= request.requestClass.idempotencyWindowMicros() + SOCKET_SLACK_MICROS;
    }

    private void checkUpstream(RequestAudit request, String id, UpstreamAudit upstream, long now) {
        if (upstream == null) {
            report(Violation.DRAINING_UPSTREAM, request, "to " + id + ", which no list names");
            return;
        }
        long grace = rules.drainGraceMicros() + SOCKET_SLACK_MICROS - MAX_HOLD_UP_MICROS;
        if (upstream.closedAtMicros != UpstreamAudit.NEVER
                && now - upstream.closedAtMicros > grace) {
            report(
                    Violation.DRAINING_UPSTREAM,
                    request,
                    "to " + id + ", closed for " + (now - upstream.closedAtMicros) + " us");
        }
        checkSlowStart(request, id, upstream, now);
    }

    /**
     * The slow-start quota of this process in each window of the settings: the allowed multiple of
     * what a warm endpoint got, times its warm-up factor, with slack for chance.
     */
    private void checkSlowStart(RequestAudit request, String id, UpstreamAudit upstream, long now) {
        int sent = upstream.countAttempt(now / Math.max(1, rules.overloadWindowMicros()));
        if (!isCold(upstream, now)) {
            maxAttemptsWhenWarm = Math.max(maxAttemptsWhenWarm, sent);
            return;
        }
        double ageRatio = (double) (now - upstream.startReportedAtMicros) / rules.slowStartMicros();
        double warmUpFactor =
                rules.initialCapacityRatio() + (1 - rules.initialCapacityRatio()) * ageRatio;
        double quota = rules.overloadCapacityMultiple() * warmUpFactor * maxAttemptsWhenWarm;
        if (sent > quota + 3 * Math.sqrt(quota) + 3) {
            report(
                    Violation.SLOW_START_EXCEEDED,
                    request,
                    "to " + id + ", " + sent + " requests in a window, " + "share " + quota);
        }
    }

    private boolean isCold(UpstreamAudit upstream, long now) {
        return upstream.startReportedAtMicros != UpstreamAudit.NEVER
                && now - upstream.startReportedAtMicros < rules.slowStartMicros();
    }

    private void report(Violation kind, RequestAudit request, String what) {
        violations.report(
                kind,
                nanoTime.getAsLong(),
                "request "
                        + request.id
                        + " of "
                        + request.requestClass.name()
                        + " "
                        + what
                        + ", attempt "
                        + request.attempts.size());
    }
}
