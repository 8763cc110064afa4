package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.AttemptResult;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;

/**
 * Checks the four rules of the service from outside, by events and actions alone; it shares no code
 * with the policy. A breach starts with the rule's number.
 */
final class RuleChecker {
    final List<String> breaches = new ArrayList<>();
    private LoadBalancerSettings settings;
    private final double warmWorkPerMicro;
    private final double toleratedWorkMicros;
    private final Map<String, EndpointDescriptor> endpointById = new HashMap<>();
    private final Map<String, Long> closedAtById = new HashMap<>();
    private final Map<String, CheckedRequest> requestById = new HashMap<>();
    private final Map<String, Deque<WarmingSend>> sendsByWarmingProcess = new HashMap<>();

    private record CheckedAttempt(long sentAtMicros, EndpointDescriptor endpoint) {}

    private record WarmingSend(long sentAtMicros, long workMicros) {}

    private static final class CheckedRequest {
        private RequestDescriptor request;
        private RequestClass requestClass;
        private LoadBalancerSettings settings;
        private long deadlineMicros;
        private boolean isEnded;
        private final List<CheckedAttempt> attempts = new ArrayList<>();
        private final List<Boolean> isOutstanding = new ArrayList<>();
        private final List<Boolean> mayHaveRun = new ArrayList<>();
    }

    /** {@code warmWorkPerMicro}: the maximum that a warm endpoint serves in this test. */
    RuleChecker(LoadBalancerSettings settings, double warmWorkPerMicro) {
        this(settings, warmWorkPerMicro, 0);
    }

    /** {@code toleratedWorkMicros}: work beyond a warming endpoint's budget that is allowed. */
    RuleChecker(
            LoadBalancerSettings settings, double warmWorkPerMicro, double toleratedWorkMicros) {
        this.settings = settings;
        this.warmWorkPerMicro = warmWorkPerMicro;
        this.toleratedWorkMicros = toleratedWorkMicros;
    }

    /** New settings apply to later requests; open ones keep those that they arrived under. */
    void replaceSettings(LoadBalancerSettings next) {
        settings = next;
        sendsByWarmingProcess.clear(); // sent under other figures
    }

    void listed(long nowMicros, EndpointListUpdateType kind, List<EndpointDescriptor> entries) {
        if (kind == EndpointListUpdateType.FULL || kind == EndpointListUpdateType.RESTORED) {
            for (String id : endpointById.keySet()) {
                if (entries.stream().noneMatch(entry -> entry.id().equals(id))) {
                    closedAtById.putIfAbsent(id, nowMicros);
                }
            }
        }
        for (EndpointDescriptor entry : entries) {
            endpointById.put(entry.id(), entry);
            if (entry.state() == EndpointState.READY) {
                closedAtById.remove(entry.id());
            } else {
                closedAtById.putIfAbsent(entry.id(), nowMicros);
            }
        }
    }

    void arrived(long nowMicros, RequestDescriptor request) {
        CheckedRequest checked = new CheckedRequest();
        checked.request = request;
        checked.requestClass = settings.requestClasses().get(request.classIndex());
        checked.settings = settings;
        checked.deadlineMicros = nowMicros + request.timeLeftMicros();
        requestById.put(request.id(), checked);
    }

    /** The request's body is complete, and its time starts now. */
    void bodyComplete(long nowMicros, String id) {
        CheckedRequest checked = requestById.get(id);
        checked.deadlineMicros = nowMicros + checked.request.timeLeftMicros();
    }

    /** When its client stops waiting. */
    long deadlineMicros(String id) {
        return requestById.get(id).deadlineMicros;
    }

    /** Whether nothing is owed for it any more. */
    boolean isEnded(String id) {
        return requestById.get(id).isEnded;
    }

    /** Its response has begun, or its body is incomplete: it has no deadline. */
    void removeDeadline(String id) {
        requestById.get(id).deadlineMicros = Long.MAX_VALUE / 2;
    }

    void sent(long nowMicros, String id, String endpointId) {
        CheckedRequest checked = requestById.get(id);
        EndpointDescriptor endpoint = endpointById.get(endpointId);
        breachIf(checked.isEnded, "1: sent after the end " + id);
        breachIf(
                !checked.settings.limits().isHedgingAllowed()
                        && checked.isOutstanding.contains(true),
                "2: two attempts at once " + id);
        checkRetry(nowMicros, checked, endpoint);
        Long closedAtMicros = closedAtById.get(endpointId);
        breachIf(
                closedAtMicros != null
                        && nowMicros - closedAtMicros > settings.ruleLimits().drainGraceMicros(),
                "3: sent to a drained endpoint " + endpointId);
        breachIf(
                checked.attempts.size() >= checked.settings.limits().maxAttempts(),
                "sent more often than allowed " + id);
        checkWarmUp(nowMicros, endpoint, checked.request.expectedWorkMicros());
        checked.attempts.add(new CheckedAttempt(nowMicros, endpoint));
        checked.isOutstanding.add(true);
        checked.mayHaveRun.add(true);
    }

    private void breachIf(boolean isBroken, String breach) {
        if (isBroken) {
            breaches.add(breach);
        }
    }

    private void checkRetry(long nowMicros, CheckedRequest checked, EndpointDescriptor endpoint) {
        int first = checked.mayHaveRun.indexOf(true);
        if (first < 0) {
            return;
        }
        String id = checked.request.id();
        breachIf(
                checked.requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT,
                "2: unsafe request sent again " + id);
        if (checked.requestClass.idempotency() == Idempotency.KEYED) {
            CheckedAttempt attempt = checked.attempts.get(first);
            breachIf(
                    !isSameScope(
                                    checked.requestClass.idempotencyScope(),
                                    attempt.endpoint,
                                    endpoint)
                            || nowMicros - attempt.sentAtMicros
                                    > checked.requestClass.idempotencyWindowMicros(),
                    "2: keyed request sent outside its scope or time " + id);
        }
    }

    private static boolean isSameScope(
            IdempotencyScope scope, EndpointDescriptor first, EndpointDescriptor second) {
        return scope == IdempotencyScope.ALL
                || scope == IdempotencyScope.ZONE && first.zoneIndex() == second.zoneIndex()
                || scope == IdempotencyScope.CELL && first.cellIndex() == second.cellIndex();
    }

    private void checkWarmUp(long nowMicros, EndpointDescriptor endpoint, long workMicros) {
        long ageMicros = nowMicros - endpoint.launchedAtMicros();
        if (endpoint.launchedAtMicros() <= 0
                || ageMicros >= settings.ruleLimits().slowStartMicros()) {
            return;
        }
        Deque<WarmingSend> window =
                sendsByWarmingProcess.computeIfAbsent(
                        endpoint.id() + "@" + endpoint.launchedAtMicros(),
                        key -> new ArrayDeque<>());
        window.add(new WarmingSend(nowMicros, workMicros));
        while (window.peek().sentAtMicros
                < nowMicros - settings.ruleLimits().overloadWindowMicros()) {
            window.poll();
        }
        double start = settings.ruleLimits().initialCapacityRatio();
        double capacity = start + (1 - start) * ageMicros / settings.ruleLimits().slowStartMicros();
        double budgetMicros =
                settings.ruleLimits().overloadCapacityMultiple()
                        * capacity
                        * warmWorkPerMicro
                        * settings.ruleLimits().overloadWindowMicros();
        long sentMicros = window.stream().mapToLong(WarmingSend::workMicros).sum();
        breachIf(
                sentMicros > budgetMicros + toleratedWorkMicros,
                "4: warming endpoint overloaded " + endpoint.id());
    }

    void ended(AttemptResult end) {
        CheckedRequest checked = requestById.get(end.requestId());
        checked.isOutstanding.set(end.attemptIndex(), false);
        checked.mayHaveRun.set(end.attemptIndex(), !end.outcome().isProofOfNoExecution());
        if (end.isRequestConcluded()) {
            checked.isEnded = true;
        }
    }

    void rejected(long nowMicros, String id) {
        CheckedRequest checked = requestById.get(id);
        Idempotency effect = checked.requestClass.idempotency();
        boolean mayNotReject =
                effect == Idempotency.NOT_IDEMPOTENT
                        || effect == Idempotency.KEYED
                                && checked.requestClass.idempotencyScope() != IdempotencyScope.ALL;
        breachIf(
                checked.mayHaveRun.contains(true) && mayNotReject,
                "2: rejected though it may have run " + id);
        responded(nowMicros, id);
    }

    void failed(long nowMicros, String id) {
        responded(nowMicros, id);
    }

    private void responded(long nowMicros, String id) {
        CheckedRequest checked = requestById.get(id);
        breachIf(checked.isEnded, "1: second response " + id);
        checked.isEnded = true;
        checkDeadline(nowMicros, id, checked);
    }

    void clientDisconnected(String id) {
        requestById.get(id).isEnded = true;
    }

    /** The end of the history: all requests must have had their response in time. */
    void finish(long nowMicros) {
        requestById.forEach(
                (id, checked) -> {
                    if (!checked.isEnded) {
                        checkDeadline(nowMicros, id, checked);
                    }
                });
    }

    private void checkDeadline(long nowMicros, String id, CheckedRequest checked) {
        breachIf(
                nowMicros
                        > checked.deadlineMicros
                                + checked.settings.ruleLimits().finalResponseSlackMicros(),
                "1: no response in time " + id);
    }
}
