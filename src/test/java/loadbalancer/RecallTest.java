package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What a module believes of what another one knew. */
class RecallTest {
    private static final long SECOND = Host.SECOND;
    private static final long MILLI = Host.MILLI;
    private static final long HOUR = 3_600 * SECOND;
    private final Host.Config config = new Host.Config();

    /** One that has served for a while: fast answers, so that its limits have risen. */
    private Host learnt() {
        Host h = Host.of(config).list(4);
        for (int i = 0; i < 200; i++) {
            for (int k = 0; k < 60; k++) {
                h.request(0, 2 * SECOND);
            }
            h.advance(20 * MILLI);
            for (String id : List.copyOf(h.sends.keySet())) {
                h.end(id, AttemptOutcome.SUCCESS, 20 * MILLI, Host.report(0.5));
                h.sends.remove(id);
            }
        }
        return h;
    }

    private static double limit(Host h, String id) {
        return known(h, id).concurrencyLimit();
    }

    private static EndpointSnapshot known(Host h, String id) {
        return h.balancer.exportState(h.now, 0, 100).endpoints().stream()
                .filter(k -> k.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private Host recalling(LoadBalancerSnapshot m, long age, long listAge) {
        Host h = Host.of(config).list(4);
        h.balancer.restoreState(h.now, age, listAge, m);
        return h;
    }

    @Test
    void whatWasLearntIsHandedOnAndFadesWithItsAge() {
        Host old = learnt();
        double before = limit(old, "u1");
        double fresh = limit(Host.of(config).list(4), "u1");
        assertTrue(before > 2 * fresh, "limits have risen: " + before);
        LoadBalancerSnapshot m = old.balancer.exportState(old.now, 0, 100);
        assertEquals(before, limit(recalling(m, 0, 0), "u1"), 1e-9);
        assertEquals(
                (before + fresh) / 2,
                limit(recalling(m, StateRestoration.CONCURRENCY_LIMIT_HALF_LIFE_MICROS, 0), "u1"),
                1e-9);
        assertEquals(fresh, limit(recalling(m, HOUR, 0), "u1"), 0.01);
        assertEquals(
                0,
                known(recalling(m, HOUR, 0), "u1").responseTimeMicros(),
                "an hour later the work may be another");
        assertEquals(
                m.requestsPerSecond() / 2,
                recalling(m, StateRestoration.RATE_HALF_LIFE_MICROS, 0)
                        .balancer
                        .exportState(0, 0, 0)
                        .requestsPerSecond(),
                1e-9);
    }

    @Test
    void sliceBySliceItIsTheSame() {
        Host old = learnt();
        assertEquals(
                old.balancer.exportState(old.now, 0, 100).endpoints().subList(1, 3),
                old.balancer.exportState(old.now, 1, 2).endpoints());
        assertEquals(List.of(), old.balancer.exportState(old.now, 9, 2).endpoints());
    }

    /** A process that started since is a stranger, though it has the name of one that was known. */
    @Test
    void anotherProcessUnderTheSameNameGetsNothingOfIt() {
        Host old = learnt();
        LoadBalancerSnapshot m = old.balancer.exportState(old.now, 0, 100);
        Host h = Host.of(config);
        h.balancer.updateEndpoints(
                h.now,
                EndpointListUpdateType.RESTORED,
                List.of(Host.up(1, EndpointState.READY, 5), Host.up(2, EndpointState.READY, 0)));
        double fresh = limit(h, "u1");
        h.balancer.restoreState(h.now, 0, 0, m);
        assertEquals(fresh, limit(h, "u1"));
        assertTrue(limit(h, "u2") > fresh);
    }

    @Test
    void whoeverWasEjectedStaysSoForTheTimeThatIsLeft() {
        LoadBalancerSnapshot m = learnt().balancer.exportState(0, 0, 100);
        EndpointSnapshot bad = m.endpoints().get(0);
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
        LoadBalancerSnapshot with =
                new LoadBalancerSnapshot(
                        m.responseTimeMicros(),
                        m.responseTimePerQueuedMicros(),
                        m.unitDurationMicros(),
                        m.warmWorkRate(),
                        m.requestCostMicros(),
                        m.requestsPerSecond(),
                        m.classes(),
                        List.of(ejected));
        Host h = recalling(with, SECOND, 0);
        for (int i = 0; i < 100; i++) {
            h.serve(0, 20 * MILLI, u -> 0.5);
        }
        assertEquals(0, h.perUpstream.getOrDefault(bad.id(), 0));
        h.advance(2 * SECOND);
        for (int i = 0; i < 400; i++) {
            h.serve(0, 20 * MILLI, u -> 0.5);
        }
        assertTrue(h.perUpstream.getOrDefault(bad.id(), 0) > 0, "and is let in again");
    }

    /** What this instance has seen itself counts more than what another one says. */
    @Test
    void ownAnswersAreNotOverruled() {
        LoadBalancerSnapshot m = learnt().balancer.exportState(0, 0, 100);
        Host h = Host.of(config).list(4);
        String at = h.serve(0, 20 * MILLI, u -> 0.5);
        double own = limit(h, at);
        h.balancer.restoreState(h.now, 0, 0, m);
        assertEquals(own, limit(h, at));
    }

    /** From an old list: few at a time to each, until it has answered or discovery has named it. */
    @Test
    void upstreamsOfAnOldListGetLittleUntilTheyAnswerOrAreNamed() {
        LoadBalancerSnapshot m = learnt().balancer.exportState(0, 0, 100);
        int trusted = sentAtOnce(recalling(m, 0, 0));
        Host old = recalling(m, 0, HOUR);
        int careful = sentAtOnce(old);
        assertTrue(careful < trusted / 2, careful + " of " + trusted);
        assertTrue(careful >= 4, "one each at least");
        old.balancer.updateEndpoints(old.now, EndpointListUpdateType.DELTA, List.of());
        sentAtOnce(old);
        assertTrue(old.sends.size() > trusted / 2, "discovery has spoken: the list is true");
    }

    private static int sentAtOnce(Host h) {
        int before = h.sends.size();
        for (int i = 0; i < 60; i++) {
            h.request(0, 2 * SECOND);
        }
        return h.sends.size() - before;
    }

    /** While another process serves too, its requests in flight take room. */
    @Test
    void besideAnotherProcessItsRequestsCount() {
        LoadBalancerSnapshot m = learnt().balancer.exportState(0, 0, 100);
        List<EndpointSnapshot> crowded =
                m.endpoints().stream()
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
        LoadBalancerSnapshot with =
                new LoadBalancerSnapshot(
                        m.responseTimeMicros(),
                        m.responseTimePerQueuedMicros(),
                        m.unitDurationMicros(),
                        m.warmWorkRate(),
                        m.requestCostMicros(),
                        m.requestsPerSecond(),
                        m.classes(),
                        crowded);
        int alone = sentAtOnce(recalling(with, 0, 0));
        Host h = Host.of(config).list(4);
        h.balancer.siblingProcessChanged(h.now, true);
        h.balancer.restoreState(h.now, 0, 0, with);
        int beside = sentAtOnce(h);
        assertTrue(beside < alone / 2, beside + " of " + alone);
    }
}
