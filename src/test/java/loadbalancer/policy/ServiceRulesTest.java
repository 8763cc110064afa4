package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadReportSource;
import loadbalancer.RequestDescriptor;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the policy with random legal events against the independent rule checker, and tests that the
 * checker detects breaches.
 */
class ServiceRulesTest {
    private static final long SECOND = PolicyHarness.SECOND;

    @ParameterizedTest
    @ValueSource(
            longs = {
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23,
                24
            })
    void policyKeepsTheRulesUnderRandomEvents(long seed) {
        TestSettings config = configFor(seed);
        RandomEvents events = new RandomEvents(config, seed);
        events.run();
        assertEquals(List.of(), events.breaches());
        int minServed =
                config.balancerCount > 1 ? 150 : 200; // in a tier, the subset is half of the fleet
        assertTrue(events.served() > minServed, "served " + events.served());
    }

    private static TestSettings configFor(long seed) {
        TestSettings config = new TestSettings();
        config.isHedgingAllowed = seed % 2 == 0;
        config.scope = IdempotencyScope.values()[(int) (seed % 3)];
        config.hasKeyAffinity = seed % 3 == 0;
        config.isCancellationAllowed = seed % 4 != 0;
        config.balancerCount = seed > 12 ? 40 : 1;
        config.isPeerMessagingAllowed = seed > 12 && seed % 2 == 0;
        config.loadReportSource =
                seed % 2 == 0 ? LoadReportSource.RESPONSES : LoadReportSource.PROBES;
        config.probePrice = seed > 12 ? 0.001 : 0.01;
        return config;
    }

    private RuleChecker newChecker() {
        RuleChecker checker = new RuleChecker(new TestSettings().settings(), 1.0);
        checker.listed(
                0,
                EndpointListUpdateType.RESTORED,
                List.of(
                        PolicyHarness.endpoint(0, EndpointState.READY, 0),
                        PolicyHarness.endpoint(1, EndpointState.READY, 0),
                        PolicyHarness.endpoint(2, EndpointState.READY, 10 * SECOND)));
        return checker;
    }

    private static RequestDescriptor request(int classIndex, long workMicros) {
        return new RequestDescriptor("r", classIndex, 0, null, workMicros, SECOND, false, false);
    }

    private static void assertBreach(RuleChecker checker, String rule) {
        assertFalse(checker.breaches.isEmpty());
        assertTrue(checker.breaches.get(0).startsWith(rule), checker.breaches.toString());
    }

    @Test
    void checkerDetectsAMissingResponse() {
        RuleChecker checker = newChecker();
        checker.arrived(0, request(0, 1));
        checker.finish(2 * SECOND);
        assertBreach(checker, "1");
    }

    @Test
    void checkerDetectsARetryOfANonIdempotentRequest() {
        RuleChecker checker = newChecker();
        checker.arrived(0, request(2, 1));
        checker.sent(0, "r", "u0");
        checker.ended(
                new AttemptResult("r", 0, "u0", AttemptOutcome.CONNECTION_RESET, 1, false, null));
        checker.sent(1, "r", "u0");
        assertBreach(checker, "2");
    }

    @Test
    void checkerDetectsARetryOfAKeyedRequestInAnotherZone() {
        RuleChecker checker = newChecker();
        checker.arrived(0, request(1, 1));
        checker.sent(0, "r", "u0");
        checker.ended(new AttemptResult("r", 0, "u0", AttemptOutcome.TIMEOUT, 1, false, null));
        checker.sent(1, "r", "u1");
        assertBreach(checker, "2");
    }

    @Test
    void checkerDetectsAnAttemptToADrainedEndpoint() {
        RuleChecker checker = newChecker();
        checker.listed(
                0,
                EndpointListUpdateType.DELTA,
                List.of(PolicyHarness.endpoint(0, EndpointState.DRAINING, 0)));
        checker.arrived(2 * SECOND, request(0, 1));
        checker.sent(2 * SECOND, "r", "u0");
        assertBreach(checker, "3");
    }

    @Test
    void checkerDetectsAnOverloadedWarmingEndpoint() {
        RuleChecker checker = newChecker();
        checker.arrived(11 * SECOND, request(0, 5 * SECOND));
        checker.sent(11 * SECOND, "r", "u2");
        assertBreach(checker, "4");
    }
}
