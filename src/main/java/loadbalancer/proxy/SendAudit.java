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
 * Checks each attempt at the moment of its first byte against the rules, from what was told to this
 * class alone: it shares no state with the decision module or the guards, and changes nothing. What
 * it finds is counted and logged by {@link Violations}.
 */
final class SendAudit {
    /** How much more than is left an upstream may be told, by the operators' page. */
    private static final long TOLD_SLACK = 150_000;

    /**
     * How late a clock may be read before the bytes go out; the grace of drains has to cover it.
     */
    private static final long HOLD_UP = 150_000;

    /** By which the rules' limits are longer on sockets, by the protocol page. */
    private static final long SOCKET_SLACK = 50_000;

    private final Violations violations;
    private final LongSupplier nanoTime;
    private final Map<String, UpstreamAudit> upstreams = new HashMap<>();
    private RuleLimits rules;
    private boolean heard;

    /** The most that an upstream got in a window while it was warm. */
    private int mostAtWarm;

    SendAudit(Violations violations, LongSupplier nanoTime, LoadBalancerSettings settings) {
        this.violations = violations;
        this.nanoTime = nanoTime;
        settings(settings);
    }

    void settings(LoadBalancerSettings next) {
        rules = next.ruleLimits();
    }

    private long now() {
        return TimeUnit.NANOSECONDS.toMicros(nanoTime.getAsLong());
    }

    // ---- Lists
    // -----------------------------------------------------------------------------------------

    /** A list, or changes of it; {@code restored} if it is the one from before the start. */
    void list(EndpointListUpdate list, boolean restored) {
        long now = now();
        if (list.full()) {
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
            take(e, now);
        }
        heard |= !restored;
        upstreams
                .values()
                .removeIf(
                        u ->
                                u.closedAt != UpstreamAudit.NEVER
                                        && now - u.closedAt > TimeUnit.MINUTES.toMicros(1));
    }

    private void take(EndpointListUpdate.Entry entry, long now) {
        UpstreamAudit upstream = upstreams.get(entry.id());
        boolean another =
                upstream != null
                        && entry.startedMs() != 0
                        && entry.startedMs() != upstream.startedMs;
        if (upstream == null || another) {
            upstream = new UpstreamAudit();
            upstream.newsAt = heard && entry.startedMs() != 0 ? now : UpstreamAudit.NEVER;
            upstreams.put(entry.id(), upstream);
        }
        upstream.zone = entry.zone();
        upstream.cell = entry.cell();
        upstream.startedMs = entry.startedMs();
        if (entry.state() == EndpointState.READY) {
            upstream.closedAt = UpstreamAudit.NEVER;
        } else {
            close(upstream, now);
        }
    }

    private static void close(UpstreamAudit upstream, long now) {
        upstream.closedAt = upstream.closedAt == UpstreamAudit.NEVER ? now : upstream.closedAt;
    }

    // ---- Requests
    // --------------------------------------------------------------------------------------

    /** A request gets a final answer. */
    void answered(RequestAudit request) {
        if (request.answered() > 1) {
            report(Violation.ANSWERED_TWICE, request, "answered again");
        }
    }

    /** The body of a request has come to its end. */
    void isWhole(RequestAudit request) {
        request.isWhole(now());
    }

    /** The first byte of an attempt goes out now, and tells its upstream that time. */
    AttemptAudit sending(RequestAudit request, String id, long toldMillis) {
        long now = now();
        UpstreamAudit upstream = upstreams.get(id);
        AttemptAudit attempt =
                upstream == null
                        ? new AttemptAudit(id, "", -1, now)
                        : new AttemptAudit(id, upstream.zone, upstream.cell, now);
        checkClient(request, id, toldMillis, now);
        checkRepeat(request, attempt, now);
        checkUpstream(request, id, upstream, now);
        request.attempts.add(attempt);
        return attempt;
    }

    private void checkClient(RequestAudit request, String id, long toldMillis, long now) {
        long left = request.left(now);
        if (request.isGone()) {
            report(Violation.CLIENT_GONE, request, "to " + id);
        }
        if (left < 0) {
            report(Violation.DEADLINE_OVER, request, "to " + id + ", " + -left + " us late");
        }
        if (TimeUnit.MILLISECONDS.toMicros(toldMillis) > Math.max(0, left) + TOLD_SLACK) {
            report(
                    Violation.TOLD_TOO_MUCH,
                    request,
                    "to " + id + ", " + toldMillis + " ms of " + left + " us");
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
                            || !isRemembered(request, earlier, next, now))) {
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

    private static boolean isRemembered(
            RequestAudit request, AttemptAudit earlier, AttemptAudit next, long now) {
        IdempotencyScope scope = request.requestClass.idempotencyScope();
        boolean reached =
                scope == IdempotencyScope.ALL
                        || earlier.zone.equals(next.zone)
                                && (scope == IdempotencyScope.ZONE || earlier.cell == next.cell);
        return reached
                && now - earlier.sentAt
                        <= request.requestClass.idempotencyWindowMicros() + SOCKET_SLACK;
    }

    private void checkUpstream(RequestAudit request, String id, UpstreamAudit upstream, long now) {
        if (upstream == null) {
            report(Violation.DRAINING_UPSTREAM, request, "to " + id + ", which no list names");
            return;
        }
        long grace = rules.drainGraceMicros() + SOCKET_SLACK - HOLD_UP;
        if (upstream.closedAt != UpstreamAudit.NEVER && now - upstream.closedAt > grace) {
            report(
                    Violation.DRAINING_UPSTREAM,
                    request,
                    "to " + id + ", closed for " + (now - upstream.closedAt) + " us");
        }
        checkSlowStart(request, id, upstream, now);
    }

    /**
     * This process's share, in each window that the settings name: as many times what a warm
     * upstream has been seen to take from it as the settings allow, and some slack for chance, as
     * the operators' page has it for few requests.
     */
    private void checkSlowStart(RequestAudit request, String id, UpstreamAudit upstream, long now) {
        int sent = upstream.sent(now / Math.max(1, rules.overloadWindowMicros()));
        if (!isCold(upstream, now)) {
            mostAtWarm = Math.max(mostAtWarm, sent);
            return;
        }
        double age = (double) (now - upstream.newsAt) / rules.slowStartMicros();
        double warmth = rules.initialCapacityRatio() + (1 - rules.initialCapacityRatio()) * age;
        double share = rules.overloadCapacityMultiple() * warmth * mostAtWarm;
        if (sent > share + 3 * Math.sqrt(share) + 3) {
            report(
                    Violation.SLOW_START_EXCEEDED,
                    request,
                    "to " + id + ", " + sent + " requests in a window, " + "share " + share);
        }
    }

    private boolean isCold(UpstreamAudit upstream, long now) {
        return upstream.newsAt != UpstreamAudit.NEVER
                && now - upstream.newsAt < rules.slowStartMicros();
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
