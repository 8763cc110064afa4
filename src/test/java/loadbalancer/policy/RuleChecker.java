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
 * Checks the four rules of the service by events and actions alone; it shares no code with the
 * policy. The text of a breach starts with the number of the rule.
 */
final class RuleChecker {
    final List<String> breaches = new ArrayList<>();
    private LoadBalancerSettings settings;
    private final double warmWorkPerMicro;
    private final double toleratedWorkMicros;
    private final Map<String, EndpointDescriptor> endpointById = new HashMap<>();
    private final Map<String, Long> notReadySinceById = new HashMap<>();
    private final Map<String, CheckedRequest> requestById = new HashMap<>();
    private final Map<String, Deque<WarmingSend>> sendsByWarmingProcess = new HashMap<>();

    private record CheckedAttempt(long sentAtMicros, EndpointDescriptor endpoint) {}

    private record WarmingSend(long sentAtMicros, long workMicros) {}

    private static final class CheckedRequest {
        private RequestDescriptor request;
        private RequestClass requestClass;
        private LoadBalancerSettings settings;
        private long deadlineMicros;
        private boolean isConcluded;
        private final List<CheckedAttempt> attempts = new ArrayList<>();
        private final List<Boolean> isOutstanding = new ArrayList<>();
        private final List<Boolean> mayHaveExecuted = new ArrayList<>();
    }

    /**
     * Creates a checker without tolerance. {@code warmWorkPerMicro} is the maximum rate of work
     * that a warm endpoint serves in the test.
     */
    RuleChecker(LoadBalancerSettings settings, double warmWorkPerMicro) {
        this(settings, warmWorkPerMicro, 0);
    }

    /**
     * Creates a checker. {@code toleratedWorkMicros} is the work beyond a warming endpoint's budget
     * that is allowed.
     */
    RuleChecker(
            LoadBalancerSettings settings, double warmWorkPerMicro, double toleratedWorkMicros) {
        this.settings = settings;
        this.warmWorkPerMicro = warmWorkPerMicro;
        this.toleratedWorkMicros = toleratedWorkMicros;
    }

    /** Applies new settings to later requests; open ones keep those under which they arrived. */
    void replaceSettings(LoadBalancerSettings next) {
        settings = next;
        sendsByWarmingProcess.clear(); // these were sent under the old settings
    }

    void listed(long nowMicros, EndpointListUpdateType kind, List<EndpointDescriptor> entries) {
        if (kind == EndpointListUpdateType.FULL || kind == EndpointListUpdateType.RESTORED) {
            for (String id : endpointById.keySet()) {
                if (entries.stream().noneMatch(entry -> entry.id().equals(id))) {
                    notReadySinceById.putIfAbsent(id, nowMicros);
                }
            }
        }
        for (EndpointDescriptor entry : entries) {
            endpointById.put(entry.id(), entry);
            if (entry.state() == EndpointState.READY) {
                notReadySinceById.remove(entry.id());
            } else {
                notReadySinceById.putIfAbsent(entry.id(), nowMicros);
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

    /** Records that the request's body is complete, which starts its time. */
    void bodyComplete(long nowMicros, String id) {
        CheckedRequest checked = requestById.get(id);
        checked.deadlineMicros = nowMicros + checked.request.timeLeftMicros();
    }

    /** Returns the deadline of a request. */
    long deadlineMicros(String id) {
        return requestById.get(id).deadlineMicros;
    }

    /** Returns whether a request needs no final response any more. */
    boolean isConcluded(String id) {
        return requestById.get(id).isConcluded;
    }

    /** Removes the deadline of a request whose response has begun or whose body is incomplete. */
    void removeDeadline(String id) {
        requestById.get(id).deadlineMicros = Long.MAX_VALUE / 2;
    }

    void sent(long nowMicros, String id, String endpointId) {
        CheckedRequest checked = requestById.get(id);
        EndpointDescriptor endpoint = endpointById.get(endpointId);
        breachIf(checked.isConcluded, "1: sent after the request was concluded: " + id);
        breachIf(
                !checked.settings.limits().isHedgingAllowed()
                        && checked.isOutstanding.contains(true),
                "2: two attempts in flight though hedging is not allowed: " + id);
        checkRetry(nowMicros, checked, endpoint);
        Long notReadySinceMicros = notReadySinceById.get(endpointId);
        breachIf(
                notReadySinceMicros != null
                        && nowMicros - notReadySinceMicros
                                > settings.ruleLimits().drainGraceMicros(),
                "3: sent to an endpoint after its drain grace: " + endpointId);
        breachIf(
                checked.attempts.size() >= checked.settings.limits().maxAttempts(),
                "more attempts than allowed: " + id);
        checkWarmUp(nowMicros, endpoint, checked.request.expectedWorkMicros());
        checked.attempts.add(new CheckedAttempt(nowMicros, endpoint));
        checked.isOutstanding.add(true);
        checked.mayHaveExecuted.add(true);
    }

    private void breachIf(boolean isBroken, String breach) {
        if (isBroken) {
            breaches.add(breach);
        }
    }

    private void checkRetry(long nowMicros, CheckedRequest checked, EndpointDescriptor endpoint) {
        int first = checked.mayHaveExecuted.indexOf(true);
        if (first < 0) {
            return;
        }
        String id = checked.request.id();
        breachIf(
                checked.requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT,
                "2: request that is not idempotent sent again: " + id);
        if (checked.requestClass.idempotency() == Idempotency.KEYED) {
            CheckedAttempt attempt = checked.attempts.get(first);
            breachIf(
                    !isSameScope(
                                    checked.requestClass.idempotencyScope(),
                                    attempt.endpoint,
                                    endpoint)
                            || nowMicros - attempt.sentAtMicros
                                    > checked.requestClass.idempotencyWindowMicros(),
                    "2: keyed request sent again outside its idempotency scope or window: " + id);
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
        double initialRatio = settings.ruleLimits().initialCapacityRatio();
        double capacity =
                initialRatio
                        + (1 - initialRatio) * ageMicros / settings.ruleLimits().slowStartMicros();
        double budgetMicros =
                settings.ruleLimits().overloadCapacityMultiple()
                        * capacity
                        * warmWorkPerMicro
                        * settings.ruleLimits().overloadWindowMicros();
        long sentMicros = window.stream().mapToLong(WarmingSend::workMicros).sum();
        breachIf(
                sentMicros > budgetMicros + toleratedWorkMicros,
                "4: warming endpoint overloaded: " + endpoint.id());
    }

    void ended(AttemptResult end) {
        CheckedRequest checked = requestById.get(end.requestId());
        checked.isOutstanding.set(end.attemptIndex(), false);
        checked.mayHaveExecuted.set(end.attemptIndex(), !end.outcome().provesNoExecution());
        if (end.isRequestConcluded()) {
            checked.isConcluded = true;
        }
    }

    void rejected(long nowMicros, String id) {
        CheckedRequest checked = requestById.get(id);
        Idempotency idempotency = checked.requestClass.idempotency();
        boolean mayNotReject =
                idempotency == Idempotency.NOT_IDEMPOTENT
                        || idempotency == Idempotency.KEYED
                                && checked.requestClass.idempotencyScope() != IdempotencyScope.ALL;
        breachIf(
                checked.mayHaveExecuted.contains(true) && mayNotReject,
                "2: rejected though it may have been executed: " + id);
        responded(nowMicros, id);
    }

    void failed(long nowMicros, String id) {
        responded(nowMicros, id);
    }

    private void responded(long nowMicros, String id) {
        CheckedRequest checked = requestById.get(id);
        breachIf(checked.isConcluded, "1: second final response: " + id);
        checked.isConcluded = true;
        checkDeadline(nowMicros, id, checked);
    }

    void clientDisconnected(String id) {
        requestById.get(id).isConcluded = true;
    }

    /** Ends the history and checks that all requests have had their final response in time. */
    void finish(long nowMicros) {
        requestById.forEach(
                (id, checked) -> {
                    if (!checked.isConcluded) {
                        checkDeadline(nowMicros, id, checked);
                    }
                });
    }

    private void checkDeadline(long nowMicros, String id, CheckedRequest checked) {
        breachIf(
                nowMicros
                        > checked.deadlineMicros
                                + checked.settings.ruleLimits().finalResponseSlackMicros(),
                "1: no final response in time: " + id);
    }
}
