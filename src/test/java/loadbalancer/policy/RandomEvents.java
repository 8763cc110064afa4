package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import loadbalancer.LoadReport;

/** Runs random legal events against one policy with six endpoints, checked by the rule checker. */
final class RandomEvents {
    private static final int ENDPOINTS = 6;
    private static final int STEPS = 4_000;

    /**
     * Number of steps in which requests arrive; none arrive in the last steps, so that all have
     * their response by the end.
     */
    private static final int STEPS_WITH_ARRIVALS = 3_400;

    private static final long STEP_MICROS = 5_000;

    private record OutstandingAttempt(
            String request,
            int index,
            String endpoint,
            long sentAtMicros,
            long endsAtMicros,
            AttemptOutcome outcome) {}

    private final SplittableRandom random;
    private final PolicyHarness harness;
    private final List<OutstandingAttempt> outstanding = new ArrayList<>();
    private int served;

    RandomEvents(TestSettings config, long seed) {
        random = new SplittableRandom(seed);
        harness = PolicyHarness.start(config);
        harness.checker = new RuleChecker(config.settings(), 1.0);
        List<EndpointDescriptor> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            entries.add(PolicyHarness.endpoint(i, EndpointState.READY, 0));
        }
        harness.checker.listed(harness.nowMicros, EndpointListUpdateType.RESTORED, entries);
        harness.balancer.updateEndpoints(
                harness.nowMicros, EndpointListUpdateType.RESTORED, entries);
    }

    /** Returns the number of attempts that ended with a successful response. */
    int served() {
        return served;
    }

    List<String> breaches() {
        return harness.checker.breaches;
    }

    void run() {
        for (int step = 0; step < STEPS; step++) {
            harness.advance(STEP_MICROS);
            collectActions();
            endDueAttempts();
            if (step < STEPS_WITH_ARRIVALS && random.nextInt(3) > 0) {
                sendRequest();
                collectActions();
            }
            exchangeMessages();
            if (random.nextInt(150) == 0) {
                changeEndpoint();
            }
            if (random.nextInt(200) == 0 && !outstanding.isEmpty()) {
                disconnectClient();
            }
            collectActions();
        }
        harness.checker.finish(harness.nowMicros);
    }

    private void sendRequest() {
        harness.request(
                random.nextInt(3),
                200_000 + random.nextLong(1_800_000),
                "k" + random.nextInt(9),
                5_000 + random.nextLong(40_000));
    }

    private void disconnectClient() {
        String id = outstanding.get(random.nextInt(outstanding.size())).request;
        harness.checker.clientDisconnected(id);
        harness.balancer.clientDisconnected(harness.nowMicros, id);
    }

    private void collectActions() {
        for (String line : harness.actions) {
            String[] words = line.split(" ");
            if (words[1].equals("send")) {
                startAttempt(words[2], words[3]);
            } else if (words[1].equals("cancel")) {
                cancelAttempt(words[2], Integer.parseInt(words[3]));
            }
        }
        harness.actions.clear();
    }

    private void startAttempt(String request, String endpoint) {
        int index = harness.endpointsByRequest.get(request).size() - 1;
        AttemptOutcome[] all = AttemptOutcome.values();
        AttemptOutcome outcome =
                random.nextInt(4) > 0 ? AttemptOutcome.SUCCESS : all[random.nextInt(all.length)];
        long endsAtMicros = harness.nowMicros + random.nextLong(120_000);
        outstanding.add(
                new OutstandingAttempt(
                        request, index, endpoint, harness.nowMicros, endsAtMicros, outcome));
    }

    private void cancelAttempt(String request, int index) {
        for (int i = 0; i < outstanding.size(); i++) {
            OutstandingAttempt attempt = outstanding.get(i);
            if (attempt.request.equals(request) && attempt.index == index) {
                outstanding.set(
                        i,
                        new OutstandingAttempt(
                                request,
                                index,
                                attempt.endpoint,
                                attempt.sentAtMicros,
                                harness.nowMicros,
                                AttemptOutcome.CANCELLED));
            }
        }
    }

    private void endDueAttempts() {
        for (OutstandingAttempt attempt : new ArrayList<>(outstanding)) {
            if (attempt.endsAtMicros <= harness.nowMicros && outstanding.remove(attempt)) {
                end(attempt);
            }
        }
    }

    private void end(OutstandingAttempt attempt) {
        boolean isSuccess = attempt.outcome == AttemptOutcome.SUCCESS;
        served += isSuccess ? 1 : 0;
        AttemptResult end =
                new AttemptResult(
                        attempt.request,
                        attempt.index,
                        attempt.endpoint,
                        attempt.outcome,
                        harness.nowMicros - attempt.sentAtMicros,
                        isSuccess,
                        isSuccess ? PolicyHarness.report(0.5) : null);
        harness.checker.ended(end);
        harness.balancer.attemptEnded(harness.nowMicros, end);
    }

    /** Replies to most probes, and delivers messages of peers, some of them malformed. */
    private void exchangeMessages() {
        List<String> probed = List.copyOf(harness.probes);
        harness.probes.clear();
        for (String endpoint : probed) {
            if (random.nextInt(5) > 0) {
                replyToProbe(endpoint);
            }
        }
        byte[] body =
                harness.peerMessages.isEmpty()
                        ? new byte[random.nextInt(9)]
                        : harness.peerMessages.get(0).clone();
        if (random.nextInt(3) == 0 && body.length > 0) {
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
        }
        harness.balancer.peerMessageReceived(harness.nowMicros, random.nextInt(50) - 5, body);
        harness.peerMessages.clear();
    }

    private void replyToProbe(String endpoint) {
        AttemptOutcome outcome =
                random.nextInt(25) > 0 ? AttemptOutcome.SUCCESS : AttemptOutcome.CONNECT_FAILED;
        LoadReport report = new LoadReport(0.5, random.nextInt(4), 0, Double.NaN, Double.NaN, 0);
        harness.balancer.probeCompleted(
                harness.nowMicros,
                endpoint,
                outcome,
                outcome == AttemptOutcome.SUCCESS ? report : null);
    }

    private void changeEndpoint() {
        int index = random.nextInt(ENDPOINTS);
        EndpointState state =
                switch (random.nextInt(4)) {
                    case 0 -> EndpointState.DRAINING;
                    case 1 -> EndpointState.REMOVED;
                    default -> EndpointState.READY;
                };
        long launchedAtMicros =
                state == EndpointState.READY
                        ? harness.nowMicros - random.nextLong(PolicyHarness.SECOND)
                        : 0;
        List<EndpointDescriptor> entries =
                List.of(PolicyHarness.endpoint(index, state, launchedAtMicros));
        harness.checker.listed(harness.nowMicros, EndpointListUpdateType.DELTA, entries);
        harness.balancer.updateEndpoints(harness.nowMicros, EndpointListUpdateType.DELTA, entries);
    }
}
