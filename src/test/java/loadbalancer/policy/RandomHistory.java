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
 * One random history through the policy and the rule checker: requests, outcomes of all kinds,
 * changes of the endpoint list, clients that disconnect, lost timers, replaced settings.
 */
final class RandomHistory extends TickedHarness {
    /** One event, some ticks after the one before; any numbers are valid. */
    record Step(int kind, int value) {}

    /** All that is drawn. */
    record Case(
            List<LoadBalancerSettings> settings,
            int endpoints,
            boolean hasWorkHints,
            boolean losesTimers,
            long seed,
            List<Step> steps) {}

    /** Work that a warm endpoint serves in a tick: more than is asked for here. */
    private static final double WARM_WORK_PER_TICK = 8 * MILLI;

    private static final long MAX_WORK_MICROS = 30 * MILLI;
    private static final long MAX_DEADLINE_MICROS = 20 * SECOND;

    private final Case drawn;
    private final Set<String> incompleteBodies = new HashSet<>();
    private final RandomEndpointList endpoints;
    private LoadBalancerSnapshot memory = LoadBalancerSnapshot.EMPTY;

    RandomHistory(Case drawn) {
        super(drawn.settings.get(0), drawn.seed, drawn.losesTimers);
        this.drawn = drawn;
        boolean canKeepBudget =
                drawn.settings.stream().allMatch(ArbitrarySettings::hasSlowStartBudget);
        this.checker =
                new RuleChecker(
                        settings,
                        WARM_WORK_PER_TICK / tickMicros,
                        canKeepBudget ? 4 * MAX_WORK_MICROS : Double.MAX_VALUE);
        this.endpoints = new RandomEndpointList(drawn.endpoints, random, this::deliverList);
        this.balancer = new ReweightingLoadBalancer(settings, drawn.seed, this);
    }

    /** Runs it to the end; the breaches of rules. */
    List<String> breaches() {
        balancer.start(nowMicros);
        endpoints.deliverFirst(settings.zoneCount());
        for (Step step : drawn.steps) {
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

    // Events

    private void run(int kind, int value) {
        if (kind < 45) {
            arrive(value, kind % 9 == 0);
        } else if (kind < 55) {
            endSoon(value);
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
        } else if (kind < 90 && drawn.settings.size() > 1) {
            LoadBalancerSettings next = drawn.settings.get(value % drawn.settings.size());
            replaceSettings(ArbitrarySettings.withTick(settings.tickMicros(), next));
        } else if (kind < 92 && drawn.losesTimers) {
            timers.poll();
        } else {
            runUnusual(value);
        }
    }

    private void arrive(int value, boolean isBodyIncomplete) {
        int maxOpen = settings.limits().maxOpenRequests();
        if (maxOpen > 0 && deadlineByOpenRequest.size() >= maxOpen) {
            return; // rejected before the policy hears of it
        }
        RequestDescriptor request = drawRequest(value);
        String id = request.id();
        checker.arrived(nowMicros, request);
        settingsByRequest.put(id, settings);
        deadlineByOpenRequest.put(
                id, isBodyIncomplete ? NEVER_MICROS : nowMicros + request.timeLeftMicros());
        RequestDescriptor seen = drawn.hasWorkHints ? request : withoutWorkHint(request);
        if (isBodyIncomplete) {
            incompleteBodies.add(id);
            checker.removeDeadline(id);
            balancer.requestHeadReceived(nowMicros, seen);
        } else {
            balancer.requestReceived(nowMicros, seen);
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
        if (!checker.isEnded(id) && !responding.contains(id)) {
            checker.bodyComplete(nowMicros, id);
            deadlineByOpenRequest.put(id, checker.deadlineMicros(id));
            balancer.requestBodyReceived(nowMicros, id);
        }
    }

    /** An attempt ends now, whatever it was to do. */
    private void endSoon(int value) {
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
            balancer.clientDisconnected(nowMicros, id); // a second event changes nothing
        }
    }

    /** A response begins; the other attempts of its request are cancelled. */
    private void startResponse(int value) {
        if (outstanding.isEmpty()) {
            return;
        }
        OutstandingAttempt attempt = outstanding.get(value % outstanding.size());
        String id = attempt.request();
        if (checker.isEnded(id) || !responding.add(id)) {
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

    /** Events that are legal but unusual, unknown or late. */
    private void runUnusual(int value) {
        switch (value % 10) {
            case 0 -> {
                LoadReport report = drawReport();
                balancer.attemptEnded(
                        nowMicros,
                        new AttemptResult(
                                "r" + value, 9, "u0", AttemptOutcome.SUCCESS, 1, true, report));
            }
            case 1 -> balancer.responseStarted(nowMicros, "nobody", 0);
            case 2 -> balancer.requestBodyReceived(nowMicros, "r" + count);
            case 3 -> {
                List<String> tokens = List.of("sweep", "due", "ask", "", "other");
                balancer.timerExpired(nowMicros, tokens.get(value / 10 % 5));
            }
            case 4 ->
                    balancer.probeCompleted(
                            nowMicros, "nobody", AttemptOutcome.SUCCESS, drawReport());
            case 5 -> balancer.setMaxPendingRequests(value / 10 % 4 == 0 ? value / 40 % 5 : 10_000);
            case 6 -> balancer.siblingProcessChanged(nowMicros, value / 10 % 2 == 0);
            case 7 -> balancer.restoreState(nowMicros, value * MILLI, value * SECOND, memory);
            case 8 -> memory = balancer.exportState(nowMicros, value / 10 % 3, value / 30 % 30);
            default -> deliverPeerMessage(value);
        }
    }

    private void deliverPeerMessage(int value) {
        byte[] body = new byte[value / 10 % 9];
        new Random(value).nextBytes(body);
        boolean isForeign = peerMessages.isEmpty() || value % 3 == 0;
        balancer.peerMessageReceived(
                nowMicros, value % 210 - 5, isForeign ? body : peerMessages.get(0));
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
