package loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReport;
import loadbalancer.LoadReportSource;

/**
 * A harness with the time of the wire protocol: all events occur at whole ticks, and an attempt
 * that is outstanding at its request's deadline times out then. The outcomes of attempts are
 * random, and every action of the policy is checked.
 */
abstract class TickedHarness extends PolicyHarness {
    static final long NEVER_MICROS = Long.MAX_VALUE / 2;
    private static final long MAX_TIMER_MICROS = 71 * 60 * SECOND;
    private static final double[] REPORTED_VALUES = {Double.NaN, -1, 0, 0.4, 0.96, 1, 3, 1e9};

    /** An outstanding attempt and its planned end. */
    record OutstandingAttempt(
            String request,
            int index,
            String endpoint,
            long sentAtMicros,
            long endsAtMicros,
            AttemptOutcome outcome) {}

    record TickTimer(long atMicros, long number, String token) {}

    final SplittableRandom random;
    final PriorityQueue<TickTimer> timers =
            new PriorityQueue<>(
                    (first, second) ->
                            first.atMicros != second.atMicros
                                    ? Long.compare(first.atMicros, second.atMicros)
                                    : Long.compare(first.number, second.number));
    final List<OutstandingAttempt> outstanding = new ArrayList<>();
    final Map<String, LoadBalancerSettings> settingsByRequest = new LinkedHashMap<>();
    final Map<String, Long> deadlineByOpenRequest = new LinkedHashMap<>();
    final Set<String> responding = new HashSet<>();
    final long tickMicros;
    LoadBalancerSettings settings;

    /** Next number for a request or a timer. */
    long count;

    /** Number of attempts that were sent. */
    int attemptsSent;

    private final Map<String, Integer> attemptCounts = new HashMap<>();
    private final boolean losesTimers;

    /**
     * Creates a harness. With {@code losesTimers}, timers may be lost, and the harness then
     * responds in the policy's place at a deadline.
     */
    TickedHarness(LoadBalancerSettings settings, long seed, boolean losesTimers) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.tickMicros = Math.max(settings.tickMicros(), MILLI);
        this.losesTimers = losesTimers;
    }

    /** Returns whether an endpoint was ever listed. */
    abstract boolean wasListed(String endpoint);

    /** Disconnects the client of a request. */
    final void disconnect(String id) {
        checker.clientDisconnected(id);
        deadlineByOpenRequest.remove(id);
        balancer.clientDisconnected(nowMicros, id);
    }

    /** Changes the planned end of an outstanding attempt. */
    final void replace(OutstandingAttempt attempt, long endsAtMicros, AttemptOutcome outcome) {
        outstanding.set(
                outstanding.indexOf(attempt),
                new OutstandingAttempt(
                        attempt.request,
                        attempt.index,
                        attempt.endpoint,
                        attempt.sentAtMicros,
                        endsAtMicros,
                        outcome));
    }

    /** Returns the first tick at or after that time. */
    private long tickAtOrAfter(long timeMicros) {
        return (Math.min(timeMicros, NEVER_MICROS) + tickMicros - 1) / tickMicros * tickMicros;
    }

    @Override
    void advance(long byMicros) {
        long untilMicros = nowMicros + byMicros;
        while (true) {
            long nextMicros = Math.max(nowMicros, tickAtOrAfter(nextEventMicros()));
            if (nextMicros > untilMicros) {
                nowMicros = Math.max(nowMicros, untilMicros / tickMicros * tickMicros);
                return;
            }
            nowMicros = nextMicros;
            endDueAttempts();
            fireDueTimers();
        }
    }

    private long nextEventMicros() {
        long nextMicros = timers.isEmpty() ? NEVER_MICROS : timers.peek().atMicros;
        for (OutstandingAttempt attempt : outstanding) {
            long endsAtMicros =
                    Math.min(attempt.endsAtMicros, checker.deadlineMicros(attempt.request));
            nextMicros = Math.min(nextMicros, endsAtMicros);
        }
        if (losesTimers) {
            for (long deadlineMicros : deadlineByOpenRequest.values()) {
                nextMicros = Math.min(nextMicros, deadlineMicros);
            }
        }
        return nextMicros;
    }

    private void endDueAttempts() {
        for (OutstandingAttempt attempt : List.copyOf(outstanding)) {
            if (checker.deadlineMicros(attempt.request) <= nowMicros
                    && !responding.contains(attempt.request)) {
                end(attempt, AttemptOutcome.TIMEOUT);
            } else if (attempt.endsAtMicros <= nowMicros) {
                end(attempt, attempt.outcome);
            }
        }
        // If a timer is lost, the proxy responds in the policy's place, and so does this harness.
        if (losesTimers) {
            List.copyOf(deadlineByOpenRequest.keySet()).stream()
                    .filter(id -> deadlineByOpenRequest.get(id) <= nowMicros)
                    .forEach(this::disconnect);
        }
    }

    private void fireDueTimers() {
        int remaining = timers.size();
        while (remaining > 0 && !timers.isEmpty() && timers.peek().atMicros <= nowMicros) {
            remaining--;
            balancer.timerExpired(nowMicros, timers.poll().token);
        }
    }

    final void end(OutstandingAttempt attempt, AttemptOutcome outcome) {
        if (!outstanding.remove(attempt)) {
            return;
        }
        String id = attempt.request;
        boolean endsResponse = responding.contains(id) && outcome != AttemptOutcome.CANCELLED;
        boolean isConcluded =
                checker.isConcluded(id) || outcome == AttemptOutcome.SUCCESS || endsResponse;
        if (isConcluded) {
            deadlineByOpenRequest.remove(id);
        }
        LoadReport report =
                settings.loadReportSource() == LoadReportSource.RESPONSES ? drawReport() : null;
        AttemptResult end =
                new AttemptResult(
                        id,
                        attempt.index,
                        attempt.endpoint,
                        outcome,
                        nowMicros - attempt.sentAtMicros,
                        isConcluded,
                        report);
        checker.ended(end);
        balancer.attemptEnded(nowMicros, end);
    }

    final LoadReport drawReport() {
        double[] values = new double[6];
        for (int i = 0; i < values.length; i++) {
            values[i] = REPORTED_VALUES[random.nextInt(REPORTED_VALUES.length)];
        }
        return new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]);
    }

    private void breachIf(boolean isBroken, String breach) {
        if (isBroken) {
            checker.breaches.add(breach);
        }
    }

    @Override
    public void sendAttempt(String id, String endpoint, long timeoutMicros) {
        attemptsSent++;
        breachIf(timeoutMicros < 0, "negative timeout of request " + id);
        if (!settingsByRequest.containsKey(id) || !wasListed(endpoint)) {
            breachIf(true, "unknown request or endpoint: " + id + ", " + endpoint);
            return;
        }
        breachIf(responding.contains(id), "sent after its response had begun: " + id);
        checker.sent(nowMicros, id, endpoint);
        AttemptOutcome outcome =
                random.nextInt(10) < 7
                        ? AttemptOutcome.SUCCESS
                        : AttemptOutcome.values()[random.nextInt(8)];
        double uniform = random.nextDouble();
        long endsAtMicros =
                outcome == AttemptOutcome.TIMEOUT
                        ? NEVER_MICROS
                        : nowMicros + (long) (uniform * uniform * uniform * SECOND);
        int index = attemptCounts.merge(id, 1, Integer::sum) - 1;
        outstanding.add(
                new OutstandingAttempt(id, index, endpoint, nowMicros, endsAtMicros, outcome));
    }

    @Override
    public void cancelAttempt(String id, int attemptIndex) {
        breachIf(!settingsByRequest.containsKey(id), "cancelled an unknown request: " + id);
        breachIf(
                !settingsByRequest.get(id).limits().isCancellationAllowed(),
                "cancelled though the settings forbid it: " + id);
        for (OutstandingAttempt attempt : List.copyOf(outstanding)) {
            if (attempt.request.equals(id) && attempt.index == attemptIndex) {
                // The response may already be on its way.
                AttemptOutcome outcome =
                        random.nextInt(3) == 0 ? attempt.outcome : AttemptOutcome.CANCELLED;
                replace(attempt, nowMicros + tickMicros, outcome);
            }
        }
    }

    @Override
    public void reject(String id, long retryAfter) {
        recordResponse(id);
        long maxMicros =
                settingsByRequest.get(id).limits().isRetryAfterAllowed()
                        ? settingsByRequest.get(id).limits().maxRetryAfterMicros()
                        : 0;
        breachIf(retryAfter < 0 || retryAfter > maxMicros, "Retry-After out of range: " + id);
        checker.rejected(nowMicros, id);
    }

    @Override
    public void fail(String id) {
        recordResponse(id);
        checker.failed(nowMicros, id);
    }

    private void recordResponse(String id) {
        deadlineByOpenRequest.remove(id);
        breachIf(responding.contains(id), "final response after a response had begun: " + id);
    }

    @Override
    public void scheduleTimer(String token, long delayMicros) {
        breachIf(
                delayMicros < 0 || delayMicros > MAX_TIMER_MICROS,
                "timer delay out of range: " + delayMicros);
        long roundedDelayMicros = Math.max(tickMicros, tickAtOrAfter(delayMicros));
        timers.add(new TickTimer(nowMicros + roundedDelayMicros, count++, token));
    }

    @Override
    public void probeEndpoint(String endpoint) {
        breachIf(!settings.limits().isProbingAllowed(), "probed though the settings forbid it");
        breachIf(!wasListed(endpoint), "probed an unknown endpoint");
        probes.add(endpoint);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        breachIf(
                !settings.limits().isPeerMessagingAllowed(),
                "notified a peer though the settings forbid it");
        breachIf(
                peer == settings.balancerIndex() || peer >= settings.balancerCount(),
                "notified an unknown peer: " + peer);
        if (peerMessages.size() < 3) {
            peerMessages.add(body);
        }
    }
}
