package loadbalancer.policy;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.LoadReport;
import loadbalancer.RequestDescriptor;
import loadbalancer.ReweightingLoadBalancer;

/**
 * Runs one random history through the policy and the rule checker: requests, outcomes of all kinds,
 * changes of the endpoint list, clients that disconnect, lost timers and replaced settings.
 */
final class RandomHistory extends TickedHarness {
    /** One event and its delay after the previous one; any numbers are valid. */
    record Step(int kind, int value) {}

    /** All random inputs of a history. */
    record Case(
            List<LoadBalancerSettings> settings,
            int endpoints,
            boolean hasWorkHints,
            boolean losesTimers,
            long seed,
            List<Step> steps) {}

    /** Work that a warm endpoint serves per tick; more than the histories use. */
    private static final double WARM_WORK_PER_TICK = 8 * MILLI;

    private static final long MAX_WORK_MICROS = 30 * MILLI;
    private static final long MAX_DEADLINE_MICROS = 20 * SECOND;

    private final Case testCase;
    private final Set<String> incompleteBodies = new HashSet<>();
    private final RandomEndpointList endpoints;
    private LoadBalancerSnapshot savedState = LoadBalancerSnapshot.EMPTY;

    RandomHistory(Case testCase) {
        super(testCase.settings.get(0), testCase.seed, testCase.losesTimers);
        this.testCase = testCase;
        boolean hasSlowStartBudget =
                testCase.settings.stream().allMatch(ArbitrarySettings::hasSlowStartBudget);
        this.checker =
                new RuleChecker(
                        settings,
                        WARM_WORK_PER_TICK / tickMicros,
                        hasSlowStartBudget ? 4 * MAX_WORK_MICROS : Double.MAX_VALUE);
        this.endpoints = new RandomEndpointList(testCase.endpoints, random, this::deliverList);
        this.balancer = new ReweightingLoadBalancer(settings, testCase.seed, this);
    }

    /** Runs the history to its end and returns the breaches of rules. */
    List<String> breaches() {
        balancer.start(nowMicros);
        endpoints.deliverInitialList(settings.zoneCount());
        for (Step step : testCase.steps) {
            advance(tickMicros * (step.value % 5));
            run(step.kind, step.value / 5);
        }
        List.copyOf(incompleteBodies).forEach(this::completeBody);
        long endMicros = nowMicros + MAX_DEADLINE_MICROS + SECOND;
        while (!(deadlineByOpenRequest.isEmpty() && outstanding.isEmpty())
                && nowMicros < endMicros) {
            advance(Math.max(tickMicros, SECOND / 4));
        }
        checker.finish(nowMicros);
        return checker.breaches;
    }

    private void run(int kind, int value) {
        if (kind < 45) {
            sendRequest(value, kind % 9 == 0);
        } else if (kind < 55) {
            endAttemptNow(value);
        } else if (kind < 63) {
            endpoints.change(value, nowMicros, settings.zoneCount(), count);
        } else if (kind < 67) {
            advance(tickMicros * value % (2 * SECOND));
        } else if (kind < 72) {
            disconnect(value);
        } else if (kind < 77) {
            startResponse(value);
        } else if (kind < 82) {
            incompleteBodies.stream().findFirst().ifPresent(this::completeBody);
        } else if (kind < 88) {
            endProbes();
        } else if (kind < 90 && testCase.settings.size() > 1) {
            LoadBalancerSettings next = testCase.settings.get(value % testCase.settings.size());
            replaceSettings(ArbitrarySettings.withTick(settings.tickMicros(), next));
        } else if (kind < 92 && testCase.losesTimers) {
            timers.poll();
        } else {
            runUnusualEvent(value);
        }
    }

    private void sendRequest(int value, boolean isBodyIncomplete) {
        int maxOpen = settings.limits().maxOpenRequests();
        if (maxOpen > 0 && deadlineByOpenRequest.size() >= maxOpen) {
            return; // rejected before the request reaches the policy
        }
        RequestDescriptor request = drawRequest(value);
        String id = request.id();
        checker.arrived(nowMicros, request);
        settingsByRequest.put(id, settings);
        deadlineByOpenRequest.put(
                id, isBodyIncomplete ? NEVER_MICROS : nowMicros + request.timeLeftMicros());
        RequestDescriptor received = testCase.hasWorkHints ? request : withoutWorkHint(request);
        if (isBodyIncomplete) {
            incompleteBodies.add(id);
            checker.removeDeadline(id);
            balancer.requestHeadReceived(nowMicros, received);
        } else {
            balancer.requestReceived(nowMicros, received);
        }
    }

    private RequestDescriptor drawRequest(int value) {
        String id = "r" + count++;
        int classIndex = value % settings.requestClasses().size();
        long workMicros = MILLI + random.nextLong(MAX_WORK_MICROS);
        long timeLeftMicros =
                settings.requestClasses().get(classIndex).clientTimeoutMicros()
                        * random.nextInt(11)
                        / 10;
        String key = value % 3 == 0 ? null : "k" + value % 7;
        return new RequestDescriptor(
                id,
                classIndex,
                value % 4,
                key,
                workMicros,
                timeLeftMicros,
                value % 2 == 0,
                value % 5 == 0);
    }

    private static RequestDescriptor withoutWorkHint(RequestDescriptor request) {
        return new RequestDescriptor(
                request.id(),
                request.classIndex(),
                request.tenantIndex(),
                request.affinityKey(),
                0,
                request.timeLeftMicros(),
                request.isWrite(),
                request.isRetry());
    }

    private void completeBody(String id) {
        incompleteBodies.remove(id);
        if (!checker.isConcluded(id) && !responding.contains(id)) {
            checker.bodyComplete(nowMicros, id);
            deadlineByOpenRequest.put(id, checker.deadlineMicros(id));
            balancer.requestBodyReceived(nowMicros, id);
        }
    }

    /** Ends an attempt now, whatever outcome was planned for it. */
    private void endAttemptNow(int value) {
        if (!outstanding.isEmpty()) {
            OutstandingAttempt attempt = outstanding.get(value % outstanding.size());
            boolean isResponding = responding.contains(attempt.request());
            end(
                    attempt,
                    isResponding ? AttemptOutcome.SUCCESS : AttemptOutcome.values()[value / 7 % 8]);
        }
    }

    private void disconnect(int value) {
        if (!deadlineByOpenRequest.isEmpty()) {
            List<String> open = List.copyOf(deadlineByOpenRequest.keySet());
            String id = open.get(value % open.size());
            disconnect(id);
            balancer.clientDisconnected(nowMicros, id); // a repeated event must have no effect
        }
    }

    /** Starts a response and cancels the other attempts of its request. */
    private void startResponse(int value) {
        if (outstanding.isEmpty()) {
            return;
        }
        OutstandingAttempt attempt = outstanding.get(value % outstanding.size());
        String id = attempt.request();
        if (checker.isConcluded(id) || !responding.add(id)) {
            return;
        }
        checker.removeDeadline(id);
        deadlineByOpenRequest.put(id, NEVER_MICROS);
        replace(
                attempt,
                nowMicros + tickMicros * (value % 50),
                value % 4 == 0 ? AttemptOutcome.CONNECTION_RESET : AttemptOutcome.SUCCESS);
        balancer.responseStarted(nowMicros, id, attempt.index());
        for (OutstandingAttempt other : List.copyOf(outstanding)) {
            if (other.request().equals(id) && other.index() != attempt.index()) {
                end(other, AttemptOutcome.CANCELLED);
            }
        }
    }

    private void endProbes() {
        List<String> probed = List.copyOf(probes);
        probes.clear();
        for (String endpoint : probed) {
            AttemptOutcome outcome =
                    random.nextInt(4) > 0
                            ? AttemptOutcome.SUCCESS
                            : AttemptOutcome.values()[random.nextInt(8)];
            boolean hasReport = outcome == AttemptOutcome.SUCCESS && random.nextInt(5) > 0;
            balancer.probeCompleted(nowMicros, endpoint, outcome, hasReport ? drawReport() : null);
        }
    }

    private void replaceSettings(LoadBalancerSettings next) {
        settings = next;
        checker.replaceSettings(next);
        balancer.updateSettings(nowMicros, next);
    }

    /** Runs an event that is legal but unusual, refers to something unknown, or is late. */
    private void runUnusualEvent(int value) {
        switch (value % 10) {
            case 0 -> {
                LoadReport report = drawReport();
                balancer.attemptEnded(
                        nowMicros,
                        new AttemptResult(
                                "r" + value, 9, "u0", AttemptOutcome.SUCCESS, 1, true, report));
            }
            case 1 -> balancer.responseStarted(nowMicros, "unknown", 0);
            case 2 -> balancer.requestBodyReceived(nowMicros, "r" + count);
            case 3 -> {
                List<String> tokens = List.of("sweep", "due", "ask", "", "other");
                balancer.timerExpired(nowMicros, tokens.get(value / 10 % 5));
            }
            case 4 ->
                    balancer.probeCompleted(
                            nowMicros, "unknown", AttemptOutcome.SUCCESS, drawReport());
            case 5 -> balancer.setMaxPendingRequests(value / 10 % 4 == 0 ? value / 40 % 5 : 10_000);
            case 6 -> balancer.siblingProcessChanged(nowMicros, value / 10 % 2 == 0);
            case 7 -> balancer.restoreState(nowMicros, value * MILLI, value * SECOND, savedState);
            case 8 -> savedState = balancer.exportState(nowMicros, value / 10 % 3, value / 30 % 30);
            default -> deliverPeerMessage(value);
        }
    }

    private void deliverPeerMessage(int value) {
        byte[] body = new byte[value / 10 % 9];
        new Random(value).nextBytes(body);
        boolean isRandomBody = peerMessages.isEmpty() || value % 3 == 0;
        balancer.peerMessageReceived(
                nowMicros, value % 210 - 5, isRandomBody ? body : peerMessages.get(0));
        balancer.unavailableEndpointCount(nowMicros);
    }

    private void deliverList(EndpointListUpdateType kind, List<EndpointDescriptor> entries) {
        if (kind != EndpointListUpdateType.UNAVAILABLE) {
            checker.listed(nowMicros, kind, entries);
        }
        balancer.updateEndpoints(nowMicros, kind, entries);
    }

    @Override
    boolean wasListed(String endpoint) {
        return endpoints.wasListed(endpoint);
    }
}
