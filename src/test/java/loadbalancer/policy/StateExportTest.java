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

/** What an instance restores of what an earlier one had learnt. */
class StateExportTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private static final long HOUR = 3_600 * SECOND;
    private final TestSettings config = new TestSettings();

    /** One that has served for a while: fast responses, so that its limits have risen. */
    private PolicyHarness experienced() {
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
        return known(harness, id).concurrencyLimit();
    }

    private static EndpointSnapshot known(PolicyHarness harness, String id) {
        return harness.balancer.exportState(harness.nowMicros, 0, 100).endpoints().stream()
                .filter(known -> known.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private static LoadBalancerSnapshot withEndpoints(
            LoadBalancerSnapshot memory, List<EndpointSnapshot> endpoints) {
        return new LoadBalancerSnapshot(
                memory.responseTimeMicros(),
                memory.responseTimePerQueuedMicros(),
                memory.unitDurationMicros(),
                memory.warmWorkRate(),
                memory.requestCostMicros(),
                memory.requestsPerSecond(),
                memory.classes(),
                endpoints);
    }

    private PolicyHarness restored(LoadBalancerSnapshot memory, long age, long listAge) {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        harness.balancer.restoreState(harness.nowMicros, age, listAge, memory);
        return harness;
    }

    @Test
    void exportedStateIsRestoredAndDecaysWithItsAge() {
        PolicyHarness old = experienced();
        double before = limit(old, "u1");
        double fresh = limit(PolicyHarness.start(config).listEndpoints(4), "u1");
        assertTrue(before > 2 * fresh, "limits have risen: " + before);
        LoadBalancerSnapshot memory = old.balancer.exportState(old.nowMicros, 0, 100);
        assertEquals(before, limit(restored(memory, 0, 0), "u1"), 1e-9);
        assertEquals(
                (before + fresh) / 2,
                limit(
                        restored(memory, StateRestoration.CONCURRENCY_LIMIT_HALF_LIFE_MICROS, 0),
                        "u1"),
                1e-9);
        assertEquals(fresh, limit(restored(memory, HOUR, 0), "u1"), 0.01);
        assertEquals(
                0,
                known(restored(memory, HOUR, 0), "u1").responseTimeMicros(),
                "after an hour nothing is restored");
        assertEquals(
                memory.requestsPerSecond() / 2,
                restored(memory, StateRestoration.RATE_HALF_LIFE_MICROS, 0)
                        .balancer
                        .exportState(0, 0, 0)
                        .requestsPerSecond(),
                1e-9);
    }

    @Test
    void exportInPartsGivesTheSameEndpoints() {
        PolicyHarness old = experienced();
        assertEquals(
                old.balancer.exportState(old.nowMicros, 0, 100).endpoints().subList(1, 3),
                old.balancer.exportState(old.nowMicros, 1, 2).endpoints());
        assertEquals(List.of(), old.balancer.exportState(old.nowMicros, 9, 2).endpoints());
    }

    @Test
    void restartedEndpointDoesNotGetTheStateOfItsPredecessor() {
        PolicyHarness old = experienced();
        LoadBalancerSnapshot memory = old.balancer.exportState(old.nowMicros, 0, 100);
        PolicyHarness harness = PolicyHarness.start(config);
        harness.balancer.updateEndpoints(
                harness.nowMicros,
                EndpointListUpdateType.RESTORED,
                List.of(
                        PolicyHarness.endpoint(1, EndpointState.READY, 5),
                        PolicyHarness.endpoint(2, EndpointState.READY, 0)));
        double fresh = limit(harness, "u1");
        harness.balancer.restoreState(harness.nowMicros, 0, 0, memory);
        assertEquals(fresh, limit(harness, "u1"));
        assertTrue(limit(harness, "u2") > fresh);
    }

    @Test
    void ejectionContinuesForTheTimeThatIsLeft() {
        LoadBalancerSnapshot memory = experienced().balancer.exportState(0, 0, 100);
        EndpointSnapshot bad = memory.endpoints().get(0);
        EndpointSnapshot ejected =
                new EndpointSnapshot(
                        bad.id(),
                        0,
                        bad.sinceLastResponseMicros(),
                        0,
                        bad.concurrencyLimit(),
                        bad.minUnitDurationMicros(),
                        bad.responseTimeMicros(),
                        bad.responseTimePerQueuedMicros(),
                        0.2,
                        4 * SECOND,
                        2 * SECOND,
                        0,
                        0,
                        0);
        LoadBalancerSnapshot changed = withEndpoints(memory, List.of(ejected));
        PolicyHarness harness = restored(changed, SECOND, 0);
        for (int i = 0; i < 100; i++) {
            harness.serve(0, 20 * MILLI, u -> 0.5);
        }
        assertEquals(0, harness.sendsByEndpoint.getOrDefault(bad.id(), 0));
        harness.advance(2 * SECOND);
        for (int i = 0; i < 400; i++) {
            harness.serve(0, 20 * MILLI, u -> 0.5);
        }
        assertTrue(
                harness.sendsByEndpoint.getOrDefault(bad.id(), 0) > 0, "and gets requests again");
    }

    @Test
    void ownMeasurementsAreNotReplaced() {
        LoadBalancerSnapshot memory = experienced().balancer.exportState(0, 0, 100);
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        String at = harness.serve(0, 20 * MILLI, u -> 0.5);
        double own = limit(harness, at);
        harness.balancer.restoreState(harness.nowMicros, 0, 0, memory);
        assertEquals(own, limit(harness, at));
    }

    @Test
    void endpointsOfAnOldListGetFewRequestsUntilTheyRespondOrAreListed() {
        LoadBalancerSnapshot memory = experienced().balancer.exportState(0, 0, 100);
        int trusted = sentAtOnce(restored(memory, 0, 0));
        PolicyHarness old = restored(memory, 0, HOUR);
        int careful = sentAtOnce(old);
        assertTrue(careful < trusted / 2, careful + " of " + trusted);
        assertTrue(careful >= 4, "one each at least");
        old.balancer.updateEndpoints(old.nowMicros, EndpointListUpdateType.DELTA, List.of());
        sentAtOnce(old);
        assertTrue(old.endpointsByRequest.size() > trusted / 2, "discovery has confirmed the list");
    }

    private static int sentAtOnce(PolicyHarness harness) {
        int before = harness.endpointsByRequest.size();
        for (int i = 0; i < 60; i++) {
            harness.request(0, 2 * SECOND);
        }
        return harness.endpointsByRequest.size() - before;
    }

    @Test
    void requestsOfASiblingProcessCountAsInFlight() {
        LoadBalancerSnapshot memory = experienced().balancer.exportState(0, 0, 100);
        List<EndpointSnapshot> crowded =
                memory.endpoints().stream()
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
        LoadBalancerSnapshot changed = withEndpoints(memory, crowded);
        int alone = sentAtOnce(restored(changed, 0, 0));
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        harness.balancer.siblingProcessChanged(harness.nowMicros, true);
        harness.balancer.restoreState(harness.nowMicros, 0, 0, changed);
        int beside = sentAtOnce(harness);
        assertTrue(beside < alone / 2, beside + " of " + alone);
    }
}
