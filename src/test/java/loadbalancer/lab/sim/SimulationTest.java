package loadbalancer.lab.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Set;
import loadbalancer.lab.baseline.BalancerUnderTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole runs: what must hold of them, and the hard cases. */
class SimulationTest {
    private static String json(Result r) throws JsonProcessingException {
        return new ObjectMapper().writeValueAsString(r);
    }

    private static final String ALL_TROUBLES =
            Simulations.SMALL
                    + "[tenant.a]\nshare = 0.6\n[tenant.b]\nshare = 0.4\n"
                    + "[trouble.a]\nkind = \"zone_loss\"\nlen_s = 2\nwith_balancers = true\n"
                    + "[trouble.b]\nkind = \"replacement\"\nlen_s = 1\npart = 0.5\n"
                    + "[trouble.c]\nkind = \"rolling_drain\"\nlen_s = 1\npart = 0.5\n"
                    + "[trouble.d]\nkind = \"tenant_flood\"\ntenant = \"b\"\nlen_s = 3\nsize = 3\n"
                    + "[trouble.e]\nkind = \"discovery_outage\"\nlen_s = 3\n"
                    + "[trouble.f]\nkind = \"reload\"\nattempts = 2\n"
                    + "[trouble.g]\nkind = \"grey_errors\"\nlen_s = 2\n"
                    + "[trouble.h]\nkind = \"balancer_crash\"\nlen_s = 2\npart = 0.5\n";

    @Test
    void theSameSeedGivesTheSameBytesAndAnotherOneDoesNot() throws JsonProcessingException {
        for (String policy : BalancerUnderTest.all().keySet()) {
            String first = json(Simulations.play(ALL_TROUBLES, policy, 4));
            assertEquals(first, json(Simulations.play(ALL_TROUBLES, policy, 4)));
            assertNotEquals(first, json(Simulations.play(ALL_TROUBLES, policy, 5)));
        }
    }

    /** Who arrives when with how much work hangs on neither the servers nor the contender. */
    @Test
    void changingTheFleetRedrawsNoArrivals() {
        String fixed = Simulations.SMALL.replace("of_capacity = 0.5", "rate_per_s = 80");
        Result a = Simulations.play(fixed, "random", 9);
        Result b =
                Simulations.play(
                        Simulations.with(
                                fixed.replace("count = 4", "count = 7"),
                                "[kind.one]",
                                "speed_cv = 0.3"),
                        "two-choices",
                        9);
        assertEquals(a.firstTries(), b.firstTries());
        for (int i = 0; i < a.seconds().size(); i++) {
            assertEquals(a.seconds().get(i)[0], b.seconds().get(i)[0], "second " + i);
        }
    }

    @Test
    void theModuleKeepsItsRulesThroughAllTroubles() {
        for (long seed = 1; seed <= 12; seed++) {
            Result r = Simulations.play(ALL_TROUBLES, "module", seed);
            assertTrue(r.kept(), seed + ": " + r.breachTexts());
            assertEquals(0, r.doubleEffects(), "seed " + seed);
            assertTrue(r.firstTries() > 500 && r.served() > 0);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "module",
                "random",
                "round-robin",
                "two-choices",
                "least-request",
                "peak-ewma",
                "all-seeing"
            })
    void withoutServersEveryRequestIsRefusedInTime(String policy) {
        Result r =
                Simulations.play(
                        Simulations.SMALL
                                .replace("count = 4", "count = 0")
                                .replace("of_capacity = 0.5", "rate_per_s = 50"),
                        policy,
                        1);
        assertEquals(0, r.served());
        assertEquals(0, r.attempts());
        assertTrue(r.firstTries() > 400);
        assertEquals(0, r.whole());
        assertTrue(r.kept(), r.breachTexts().toString());
    }

    @Test
    void withoutBalancersNobodyIsReached() {
        Result r =
                Simulations.play(Simulations.SMALL.replace("count = 2", "count = 0"), "random", 1);
        assertEquals(0, r.served());
        assertEquals(r.clientTries(), r.unreachable());
    }

    @Test
    void aKilledBalancersRequestsAreTheClientsToRepeat() {
        Result r =
                Simulations.play(
                        Simulations.SMALL
                                + "[trouble.x]\nkind = \"balancer_crash\"\nat_s = 5\nlen_s = 3\n"
                                + "part = 1\n",
                        "module",
                        2);
        assertTrue(r.kept(), r.breachTexts().toString());
        assertTrue(r.unreachable() > 0);
        assertTrue(r.clientTries() > r.firstTries());
        assertTrue(
                r.seconds().get(6)[1] < 0.5 * r.seconds().get(6)[0],
                "nobody serves while all are down");
        assertTrue(
                r.seconds().get(10)[1] > 0.9 * r.seconds().get(10)[0],
                "and all is well afterwards");
    }

    /** Attempts at a silent server end by time alone; one that resets says so at once. */
    @Test
    void aServerThatVanishesSilentlyCostsMoreThanOneThatResets() {
        String loss = "[trouble.x]\nkind = \"zone_loss\"\nat_s = 4\nlen_s = 4\n";
        Result reset = Simulations.play(Simulations.SMALL + loss, "random", 3);
        Result silent = Simulations.play(Simulations.SMALL + loss + "silent = true\n", "random", 3);
        assertTrue(silent.whole() < reset.whole() - 0.02, silent.whole() + " " + reset.whole());
        assertTrue(reset.kept() && silent.kept(), reset.breachTexts() + " " + silent.breachTexts());
    }

    /**
     * Work sent to the old id meets the new process at the same address; nothing is lost between
     * the two.
     */
    @Test
    void aReplacedServerAnswersAtTheSameAddress() {
        Result r =
                Simulations.play(
                        Simulations.SMALL
                                        .replace("count = 4", "count = 1")
                                        .replace("of_capacity = 0.5", "of_capacity = 0.2")
                                + "[trouble.x]\n"
                                + "kind = \"replacement\"\n"
                                + "at_s = 4\n"
                                + "len_s = 0.2\n"
                                + "part = 1\n",
                        "random",
                        3);
        assertTrue(r.kept(), r.breachTexts().toString());
        assertTrue(r.seconds().get(11)[1] > 0.9 * r.seconds().get(11)[0], "the heir serves");
    }

    /** A first try may be served while its repeat is under way: the client counts once. */
    @Test
    void aRetryThatLandsAfterItsFirstTryCountsOnce() {
        String slow =
                Simulations.SMALL
                        .replace("io_ms = 10", "io_ms = 990")
                        .replace("try_share = 0.5", "try_share = 0.34");
        Result r = Simulations.play(slow, "random", 6);
        assertTrue(r.clientTries() > r.firstTries() + 50, "tries end at 1 s, just as answers come");
        long asked = Math.round(r.seconds().stream().mapToDouble(s -> s[0]).sum());
        long got = Math.round(r.seconds().stream().mapToDouble(s -> s[1]).sum());
        assertEquals(r.firstTries(), asked);
        assertTrue(got <= asked);
        assertEquals(0, r.doubleEffects());
    }

    /**
     * The checker must see what breaks a rule; the policies that keep them prove nothing about it.
     */
    @Test
    void theCheckerSeesEveryBrokenRule() {
        assertEquals(Set.of("1"), broken(Rogue.Crime.SILENCE));
        assertTrue(broken(Rogue.Crime.REPEATS).contains("2"));
        assertTrue(broken(Rogue.Crime.DRAINED).contains("3"));
        assertTrue(broken(Rogue.Crime.PUSHES_COLD).contains("4"));
        assertEquals(Set.of("1"), broken(Rogue.Crime.AFTER_END));
    }

    private static Set<String> broken(Rogue.Crime crime) {
        String text =
                Simulations.SMALL.replace("try_share = 0.5", "try_share = 1")
                        + "[trouble.x]\n"
                        + "kind = \"rolling_drain\"\n"
                        + "at_s = 2\n"
                        + "len_s = 4\n"
                        + "part = 1\n"
                        + "step_s = 0\n"
                        + "[trouble.y]\n"
                        + "kind = \"grey_errors\"\n"
                        + "at_s = 1\n"
                        + "len_s = 9\n"
                        + "part = 1\n"
                        + "size = 0.2\n";
        if (crime == Rogue.Crime.PUSHES_COLD) {
            text =
                    Simulations.SMALL
                                    .replace("of_capacity = 0.5", "of_capacity = 6")
                                    .replace("queue_per_core = 16", "queue_per_core = 100000")
                                    .replace("cold_s = 3", "cold_s = 8")
                            + "[discovery]\n"
                            + "notice_s = 0\n"
                            + "add_s = 0\n"
                            + "period_ms = 0\n"
                            + "spread_ms = 0\n"
                            + "[trouble.x]\n"
                            + "kind = \"rolling_drain\"\n"
                            + "at_s = 2\n"
                            + "len_s = 0.5\n"
                            + "part = 1\n"
                            + "step_s = 0\n";
        }
        return Simulation.play(
                        Simulations.scenario(text),
                        (settings, seed, out, truth) -> new Rogue(out, crime),
                        1)
                .breaches()
                .keySet();
    }

    @Test
    void aStarvedBalancerAnswersInLumps() {
        Result r =
                Simulations.play(
                        Simulations.SMALL
                                + "[trouble.x]\nkind = \"starve\"\nat_s = 2\nlen_s = 8\n"
                                + "part = 1\nsize = 0.8\non_off_s = 1\n",
                        "module",
                        2);
        assertTrue(r.latency().get("safe").p90Ms() > 300, "answers wait for the end of a stall");
        assertTrue(r.kept(), r.breachTexts().toString());
    }

    @Test
    void secondsAddUpToTheWhole() {
        Result r = Simulations.play(ALL_TROUBLES, "module", 8);
        double[] sum = new double[2];
        r.seconds()
                .forEach(
                        s -> {
                            sum[0] += s[0];
                            sum[1] += s[1];
                        });
        assertArrayEquals(new double[] {r.firstTries(), r.whole() * sum[0]}, sum, 0.01);
    }
}
