package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointSnapshot;
import loadbalancer.EndpointState;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.StateRestoration;
import org.junit.jupiter.api.Test;

/** Tests of exporting the state of an instance and restoring it in a later one. */
class StateExportTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private static final long HOUR = 3_600 * SECOND;
    private final TestSettings config = new TestSettings();

    /**
     * Starts a policy and serves requests with fast responses, so that its concurrency limits have
     * risen.
     */
    private PolicyHarness harnessWithRaisedLimits() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        for (int i = 0; i < 200; i++) {
            for (int k = 0; k < 60; k++) {
                harness.request(0, 2 * SECOND);
            }
            harness.advance(20 * MILLI);
            for (String id : List.copyOf(harness.endpointsByRequest.keySet())) {
                harness.endAttempt(
                        id, AttemptOutcome.SUCCESS, 20 * MILLI, PolicyHarness.report(0.5));
                harness.endpointsByRequest.remove(id);
            }
        }
        return harness;
    }

    private static double limit(PolicyHarness harness, String id) {
        return exportedEndpoint(harness, id).concurrencyLimit();
    }

    private static EndpointSnapshot exportedEndpoint(PolicyHarness harness, String id) {
        return harness.balancer.exportState(harness.nowMicros, 0, 100).endpoints().stream()
                .filter(endpoint -> endpoint.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private static LoadBalancerSnapshot withEndpoints(
            LoadBalancerSnapshot savedState, List<EndpointSnapshot> endpoints) {
        return new LoadBalancerSnapshot(
                savedState.responseTimeMicros(),
                savedState.responseTimePerQueuedMicros(),
                savedState.unitDurationMicros(),
                savedState.warmWorkRate(),
                savedState.requestCostMicros(),
                savedState.requestsPerSecond(),
                savedState.classes(),
                endpoints);
    }

    private PolicyHarness restoredHarness(LoadBalancerSnapshot savedState, long age, long listAge) {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        harness.balancer.restoreState(harness.nowMicros, age, listAge, savedState);
        return harness;
    }

    @Test
    void restoredStateDecaysWithItsAge() {
        PolicyHarness old = harnessWithRaisedLimits();
        double before = limit(old, "u1");
        double fresh = limit(PolicyHarness.start(config).listEndpoints(4), "u1");
        assertTrue(before > 2 * fresh, "the limits must have risen: " + before);
        LoadBalancerSnapshot savedState = old.balancer.exportState(old.nowMicros, 0, 100);
        assertEquals(before, limit(restoredHarness(savedState, 0, 0), "u1"), 1e-9);
        assertEquals(
                (before + fresh) / 2,
                limit(
                        restoredHarness(
                                savedState, StateRestoration.CONCURRENCY_LIMIT_HALF_LIFE_MICROS, 0),
                        "u1"),
                1e-9);
        assertEquals(fresh, limit(restoredHarness(savedState, HOUR, 0), "u1"), 0.01);
        assertEquals(
                0,
                exportedEndpoint(restoredHarness(savedState, HOUR, 0), "u1").responseTimeMicros(),
                "after an hour, response times are not restored");
        assertEquals(
                savedState.requestsPerSecond() / 2,
                restoredHarness(savedState, StateRestoration.RATE_HALF_LIFE_MICROS, 0)
                        .balancer
                        .exportState(0, 0, 0)
                        .requestsPerSecond(),
                1e-9);
    }

    @Test
    void exportInPartsContainsTheSameEndpoints() {
        PolicyHarness old = harnessWithRaisedLimits();
        assertEquals(
                old.balancer.exportState(old.nowMicros, 0, 100).endpoints().subList(1, 3),
                old.balancer.exportState(old.nowMicros, 1, 2).endpoints());
        assertEquals(List.of(), old.balancer.exportState(old.nowMicros, 9, 2).endpoints());
    }

    @Test
    void restartedEndpointDoesNotInheritRestoredState() {
        PolicyHarness old = harnessWithRaisedLimits();
        LoadBalancerSnapshot savedState = old.balancer.exportState(old.nowMicros, 0, 100);
        PolicyHarness harness = PolicyHarness.start(config);
        harness.balancer.updateEndpoints(
                harness.nowMicros,
                EndpointListUpdateType.RESTORED,
                List.of(
                        PolicyHarness.endpoint(1, EndpointState.READY, 5),
                        PolicyHarness.endpoint(2, EndpointState.READY, 0)));
        double fresh = limit(harness, "u1");
        harness.balancer.restoreState(harness.nowMicros, 0, 0, savedState);
        assertEquals(fresh, limit(harness, "u1"));
        assertTrue(limit(harness, "u2") > fresh);
    }

    @Test
    void restoredEjectionLastsForItsRemainingTime() {
        LoadBalancerSnapshot savedState = harnessWithRaisedLimits().balancer.exportState(0, 0, 100);
        EndpointSnapshot first = savedState.endpoints().get(0);
        EndpointSnapshot ejected =
                new EndpointSnapshot(
                        first.id(),
                        0,
                        first.sinceLastResponseMicros(),
                        0,
                        first.concurrencyLimit(),
                        first.minUnitDurationMicros(),
                        first.responseTimeMicros(),
                        first.responseTimePerQueuedMicros(),
                        0.2,
                        4 * SECOND,
                        2 * SECOND,
                        0,
                        0,
                        0);
        LoadBalancerSnapshot changed = withEndpoints(savedState, List.of(ejected));
        PolicyHarness harness = restoredHarness(changed, SECOND, 0);
        for (int i = 0; i < 100; i++) {
            harness.serve(0, 20 * MILLI, u -> 0.5);
        }
        assertEquals(0, harness.sendsByEndpoint.getOrDefault(first.id(), 0));
        harness.advance(2 * SECOND);
        for (int i = 0; i < 400; i++) {
            harness.serve(0, 20 * MILLI, u -> 0.5);
        }
        assertTrue(
                harness.sendsByEndpoint.getOrDefault(first.id(), 0) > 0,
                "the endpoint must get requests after the ejection");
    }

    @Test
    void restoredStateDoesNotReplaceOwnMeasurements() {
        LoadBalancerSnapshot savedState = harnessWithRaisedLimits().balancer.exportState(0, 0, 100);
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        String at = harness.serve(0, 20 * MILLI, u -> 0.5);
        double own = limit(harness, at);
        harness.balancer.restoreState(harness.nowMicros, 0, 0, savedState);
        assertEquals(own, limit(harness, at));
    }

    @Test
    void endpointsOfAnOldListGetFewRequestsUntilDiscoveryConfirmsThem() {
        LoadBalancerSnapshot savedState = harnessWithRaisedLimits().balancer.exportState(0, 0, 100);
        int trusted = sentImmediately(restoredHarness(savedState, 0, 0));
        PolicyHarness old = restoredHarness(savedState, 0, HOUR);
        int untrusted = sentImmediately(old);
        assertTrue(untrusted < trusted / 2, untrusted + " of " + trusted);
        assertTrue(untrusted >= 4, "each endpoint must get at least one request");
        old.balancer.updateEndpoints(old.nowMicros, EndpointListUpdateType.DELTA, List.of());
        sentImmediately(old);
        assertTrue(
                old.endpointsByRequest.size() > trusted / 2,
                "discovery has confirmed the list, so the load is not limited any more");
    }

    private static int sentImmediately(PolicyHarness harness) {
        int before = harness.endpointsByRequest.size();
        for (int i = 0; i < 60; i++) {
            harness.request(0, 2 * SECOND);
        }
        return harness.endpointsByRequest.size() - before;
    }

    @Test
    void requestsOfASiblingProcessCountAsInFlight() {
        LoadBalancerSnapshot savedState = harnessWithRaisedLimits().balancer.exportState(0, 0, 100);
        List<EndpointSnapshot> loaded =
                savedState.endpoints().stream()
                        .map(
                                k ->
                                        new EndpointSnapshot(
                                                k.id(),
                                                0,
                                                k.sinceLastResponseMicros(),
                                                k.logWeight(),
                                                k.concurrencyLimit(),
                                                k.minUnitDurationMicros(),
                                                k.responseTimeMicros(),
                                                k.responseTimePerQueuedMicros(),
                                                0,
                                                0,
                                                k.nextEjectionMicros(),
                                                k.completedWorkRate(),
                                                k.slowStartTokens(),
                                                (int) k.concurrencyLimit()))
                        .toList();
        LoadBalancerSnapshot changed = withEndpoints(savedState, loaded);
        int withoutSibling = sentImmediately(restoredHarness(changed, 0, 0));
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        harness.balancer.siblingProcessChanged(harness.nowMicros, true);
        harness.balancer.restoreState(harness.nowMicros, 0, 0, changed);
        int withSibling = sentImmediately(harness);
        assertTrue(withSibling < withoutSibling / 2, withSibling + " of " + withoutSibling);
    }
}
