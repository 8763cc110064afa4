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
 * A harness with the time of the wire protocol: everything happens at whole ticks, and an attempt
 * that is outstanding at its request's deadline times out there. Outcomes of attempts are random;
 * every action of the policy is checked.
 */
abstract class TickedHarness extends PolicyHarness {
    static final long NEVER_MICROS = Long.MAX_VALUE / 2;
    private static final long MAX_TIMER_MICROS = 71 * 60 * SECOND;
    private static final double[] REPORTED_VALUES = {Double.NaN, -1, 0, 0.4, 0.96, 1, 3, 1e9};

    /** An attempt that was sent, and how it is going to end. */
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

    /** Numbers requests and timers. */
    long count;

    /** How many attempts there were. */
    int attemptsSent;

    private final Map<String, Integer> attemptCounts = new HashMap<>();
    private final boolean losesTimers;

    /** {@code losesTimers}: the host then responds in the policy's place at a deadline. */
    TickedHarness(LoadBalancerSettings settings, long seed, boolean losesTimers) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.tickMicros = Math.max(settings.tickMicros(), MILLI);
        this.losesTimers = losesTimers;
    }

    /** Whether an endpoint was ever listed. */
    abstract boolean wasListed(String endpoint);

    /** The client of a request disconnects. */
    final void disconnect(String id) {
        checker.clientDisconnected(id);
        deadlineByOpenRequest.remove(id);
        balancer.clientDisconnected(nowMicros, id);
    }

    /** Changes how an outstanding attempt is going to end. */
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

    // Time

    /** The first tick at or after that time. */
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
        // With a timer lost, the host responds in the policy's place, as the one on sockets does.
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
                checker.isEnded(id) || outcome == AttemptOutcome.SUCCESS || endsResponse;
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

    // Actions of the policy

    private void breachIf(boolean isBroken, String breach) {
        if (isBroken) {
            checker.breaches.add(breach);
        }
    }

    @Override
    public void sendAttempt(String id, String endpoint, long timeoutMicros) {
        attemptsSent++;
        breachIf(timeoutMicros < 0, "negative timeout " + id);
        if (!settingsByRequest.containsKey(id) || !wasListed(endpoint)) {
            breachIf(true, "unknown request or endpoint " + id + " " + endpoint);
            return;
        }
        breachIf(responding.contains(id), "sent after its response had begun " + id);
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
        breachIf(!settingsByRequest.containsKey(id), "cancelled an unknown request " + id);
        breachIf(
                !settingsByRequest.get(id).limits().isCancellationAllowed(),
                "cancelled though not allowed " + id);
        for (OutstandingAttempt attempt : List.copyOf(outstanding)) {
            if (attempt.request.equals(id) && attempt.index == attemptIndex) {
                // Its response may be under way already.
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
        breachIf(retryAfter < 0 || retryAfter > maxMicros, "Retry-After out of bounds " + id);
        checker.rejected(nowMicros, id);
    }

    @Override
    public void fail(String id) {
        recordResponse(id);
        checker.failed(nowMicros, id);
    }

    private void recordResponse(String id) {
        deadlineByOpenRequest.remove(id);
        breachIf(responding.contains(id), "second response " + id);
    }

    @Override
    public void scheduleTimer(String token, long delayMicros) {
        breachIf(delayMicros < 0 || delayMicros > MAX_TIMER_MICROS, "a timer in " + delayMicros);
        long delayTicksMicros = Math.max(tickMicros, tickAtOrAfter(delayMicros));
        timers.add(new TickTimer(nowMicros + delayTicksMicros, count++, token));
    }

    @Override
    public void probeEndpoint(String endpoint) {
        breachIf(!settings.limits().isProbingAllowed(), "probed though not allowed");
        breachIf(!wasListed(endpoint), "probed an unknown endpoint");
        probes.add(endpoint);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        breachIf(!settings.limits().isPeerMessagingAllowed(), "notified a peer though not allowed");
        breachIf(
                peer == settings.balancerIndex() || peer >= settings.balancerCount(),
                "notified an unknown peer " + peer);
        if (peerMessages.size() < 3) {
            peerMessages.add(body);
        }
    }
}
