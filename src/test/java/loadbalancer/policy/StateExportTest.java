package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.LoadBalancer.Known;
import loadbalancer.LoadBalancer.ListKind;
import loadbalancer.LoadBalancer.Memory;
import loadbalancer.LoadBalancer.Outcome;
import loadbalancer.LoadBalancer.State;
import loadbalancer.StateRestoration;
import org.junit.jupiter.api.Test;

/** What an instance restores of what an earlier one had learnt. */
class StateExportTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private static final long HOUR = 3_600 * SECOND;
    private final PolicyHarness.Config config = new PolicyHarness.Config();

    /** One that has served for a while: fast responses, so that its limits have risen. */
    private PolicyHarness experienced() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        for (int i = 0; i < 200; i++) {
            for (int k = 0; k < 60; k++) {
                harness.request(0, 2 * SECOND);
            }
            harness.advance(20 * MILLI);
            for (String id : List.copyOf(harness.endpointsByRequest.keySet())) {
                harness.endAttempt(id, Outcome.OK, 20 * MILLI, PolicyHarness.report(0.5));
                harness.endpointsByRequest.remove(id);
            }
        }
        return harness;
    }

    private static double limit(PolicyHarness harness, String id) {
        return known(harness, id).limit();
    }

    private static Known known(PolicyHarness harness, String id) {
        return harness.balancer.memory(harness.nowMicros, 0, 100).upstreams().stream()
                .filter(known -> known.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private static Memory withEndpoints(Memory memory, List<Known> endpoints) {
        return new Memory(
                memory.took(),
                memory.pace(),
                memory.unitTook(),
                memory.warmRate(),
                memory.cost(),
                memory.requestRate(),
                memory.classes(),
                endpoints);
    }

    private PolicyHarness restored(Memory memory, long age, long listAge) {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        harness.balancer.recall(harness.nowMicros, age, listAge, memory);
        return harness;
    }

    @Test
    void exportedStateIsRestoredAndDecaysWithItsAge() {
        PolicyHarness old = experienced();
        double before = limit(old, "u1");
        double fresh = limit(PolicyHarness.start(config).listEndpoints(4), "u1");
        assertTrue(before > 2 * fresh, "limits have risen: " + before);
        Memory memory = old.balancer.memory(old.nowMicros, 0, 100);
        assertEquals(before, limit(restored(memory, 0, 0), "u1"), 1e-9);
        assertEquals(
                (before + fresh) / 2,
                limit(restored(memory, StateRestoration.LIMIT, 0), "u1"),
                1e-9);
        assertEquals(fresh, limit(restored(memory, HOUR, 0), "u1"), 0.01);
        assertEquals(
                0,
                known(restored(memory, HOUR, 0), "u1").took(),
                "after an hour nothing is restored");
        assertEquals(
                memory.requestRate() / 2,
                restored(memory, StateRestoration.RATES, 0).balancer.memory(0, 0, 0).requestRate(),
                1e-9);
    }

    @Test
    void exportInPartsGivesTheSameEndpoints() {
        PolicyHarness old = experienced();
        assertEquals(
                old.balancer.memory(old.nowMicros, 0, 100).upstreams().subList(1, 3),
                old.balancer.memory(old.nowMicros, 1, 2).upstreams());
        assertEquals(List.of(), old.balancer.memory(old.nowMicros, 9, 2).upstreams());
    }

    @Test
    void restartedEndpointDoesNotGetTheStateOfItsPredecessor() {
        PolicyHarness old = experienced();
        Memory memory = old.balancer.memory(old.nowMicros, 0, 100);
        PolicyHarness harness = PolicyHarness.start(config);
        harness.balancer.upstreams(
                harness.nowMicros,
                ListKind.RESTORED,
                List.of(
                        PolicyHarness.endpoint(1, State.READY, 5),
                        PolicyHarness.endpoint(2, State.READY, 0)));
        double fresh = limit(harness, "u1");
        harness.balancer.recall(harness.nowMicros, 0, 0, memory);
        assertEquals(fresh, limit(harness, "u1"));
        assertTrue(limit(harness, "u2") > fresh);
    }

    @Test
    void ejectionContinuesForTheTimeThatIsLeft() {
        Memory memory = experienced().balancer.memory(0, 0, 100);
        Known bad = memory.upstreams().get(0);
        Known ejected =
                new Known(
                        bad.id(),
                        0,
                        bad.quiet(),
                        0,
                        bad.limit(),
                        bad.least(),
                        bad.took(),
                        bad.pace(),
                        0.2,
                        4 * SECOND,
                        2 * SECOND,
                        0,
                        0,
                        0);
        Memory changed = withEndpoints(memory, List.of(ejected));
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
        Memory memory = experienced().balancer.memory(0, 0, 100);
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        String at = harness.serve(0, 20 * MILLI, u -> 0.5);
        double own = limit(harness, at);
        harness.balancer.recall(harness.nowMicros, 0, 0, memory);
        assertEquals(own, limit(harness, at));
    }

    @Test
    void endpointsOfAnOldListGetFewRequestsUntilTheyRespondOrAreListed() {
        Memory memory = experienced().balancer.memory(0, 0, 100);
        int trusted = sentAtOnce(restored(memory, 0, 0));
        PolicyHarness old = restored(memory, 0, HOUR);
        int careful = sentAtOnce(old);
        assertTrue(careful < trusted / 2, careful + " of " + trusted);
        assertTrue(careful >= 4, "one each at least");
        old.balancer.upstreams(old.nowMicros, ListKind.CHANGES, List.of());
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
        Memory memory = experienced().balancer.memory(0, 0, 100);
        List<Known> crowded =
                memory.upstreams().stream()
                        .map(
                                k ->
                                        new Known(
                                                k.id(),
                                                0,
                                                k.quiet(),
                                                k.logWeight(),
                                                k.limit(),
                                                k.least(),
                                                k.took(),
                                                k.pace(),
                                                0,
                                                0,
                                                k.ejection(),
                                                k.doneRate(),
                                                k.tokens(),
                                                (int) k.limit()))
                        .toList();
        Memory changed = withEndpoints(memory, crowded);
        int alone = sentAtOnce(restored(changed, 0, 0));
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        harness.balancer.beside(harness.nowMicros, true);
        harness.balancer.recall(harness.nowMicros, 0, 0, changed);
        int beside = sentAtOnce(harness);
        assertTrue(beside < alone / 2, beside + " of " + alone);
    }
}
