package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests of the messages between balancers about requests in flight. */
class InFlightExchangeTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void notifiesPeersThatUseTheEndpointWhenAnAttemptStartsAndEnds() {
        config.balancerCount = 120;
        config.isPeerMessagingAllowed = true;
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(40);
        harness.serve(0, 20 * MILLI, u -> 0.5);
        long messages =
                harness.actions.stream().filter(action -> action.contains(" notify ")).count();
        assertTrue(messages > 8 && messages < 40 && messages % 2 == 0, "messages " + messages);
        config.isPeerMessagingAllowed = false;
        PolicyHarness withoutMessaging = PolicyHarness.start(config).listEndpoints(40);
        withoutMessaging.serve(0, 20 * MILLI, u -> 0.5);
        assertTrue(withoutMessaging.peerMessages.isEmpty());
    }

    @Test
    void peerLoadCountsUntilTheMessageExpires() {
        config.balancerCount = 3;
        config.isPeerMessagingAllowed = true;
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        String first = harness.request(0, 2 * SECOND);
        String busy = harness.lastEndpoint(first);
        byte[] message = harness.peerMessages.get(0);
        harness.endAttempt(first, AttemptOutcome.SUCCESS, 20 * MILLI, null);
        harness.balancer.peerMessageReceived(
                harness.nowMicros, 1, new byte[] {message[0], message[1], message[2], 40});
        harness.sendsByEndpoint.clear();
        for (int i = 0; i < 20; i++) {
            harness.serve(0, MILLI, u -> 0.5);
        }
        assertEquals(0, harness.sentTo(busy), harness.sendsByEndpoint.toString());
        harness.advance(2 * SECOND);
        for (int i = 0; i < 30; i++) {
            harness.serve(0, MILLI, u -> 0.5);
        }
        assertTrue(harness.sentTo(busy) > 0, harness.sendsByEndpoint.toString());
    }

    @Test
    void ignoresMalformedMessagesAndUnknownEndpoints() {
        config.balancerCount = 3;
        config.isPeerMessagingAllowed = true;
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
            for (int i = 0; i < 50; i++) {
                if (run == 1) {
                    harness.balancer.peerMessageReceived(
                            harness.nowMicros, 1, new byte[] {1, 2, 3});
                    harness.balancer.peerMessageReceived(
                            harness.nowMicros, -1, new byte[] {1, 2, 3, 40});
                    harness.balancer.peerMessageReceived(
                            harness.nowMicros, 2, new byte[] {0, 0, 0, 40});
                    harness.balancer.peerMessageReceived(harness.nowMicros, 1, new byte[0]);
                }
                harness.serve(0, 20 * MILLI, u -> 0.5);
            }
            runs.add(harness.actions);
        }
        assertEquals(runs.get(0), runs.get(1));
    }
}
