package loadbalancer.faults.process.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.Set;
import loadbalancer.faults.process.plan.Step.Kind;
import org.junit.jupiter.api.Test;

class PlanTest {
    @Test
    void drawnPlanIsTheSameEachTimeAndPlayedAgainFromItsText() throws Exception {
        Set<Kind> seen = EnumSet.noneOf(Kind.class);
        for (long seed = 1; seed <= 200; seed++) {
            Plan plan = Plan.drawn(seed, 1 + (int) seed % 30);
            assertEquals(plan.text(), Plan.drawn(seed, 1 + (int) seed % 30).text());
            assertEquals(plan.text(), Plan.of(plan.text()).text());
            plan.steps().forEach(s -> seen.add(s.kind()));
        }
        assertEquals(EnumSet.allOf(Kind.class), seen);
    }

    @Test
    void textThatIsNoPlanIsRefused() {
        for (String bad :
                new String[] {
                    "",
                    "seed=1",
                    "seed=1 balancers=0 upstreams=1 rate=1 length=1",
                    "seed=1 balancers=2 upstreams=1 rate=1 length=1\n5 KILL",
                    "seed=1 balancers=2 upstreams=1 rate=1 length=1\n"
                            + "5 KILL who=2 other=0 for=1 size=0.5",
                    "seed=1 balancers=2 upstreams=1 rate=1 length=1\n"
                            + "5 FLOOD who=0 other=0 for=1 size=0.5"
                }) {
            assertThrows(BadPlan.class, () -> Plan.of(bad), bad);
        }
    }

    @Test
    void onlyBalancersThatArePutOutOfOrderAreStartedSo() {
        Plan plan = Plan.quiet(1, 3, 2, 10, 0).with(5, Kind.CLOCK, 1, 10).with(5, Kind.KILL, 2, 10);
        assertTrue(plan.skewed(1));
        assertTrue(!plan.skewed(0) && !plan.skewed(2));
    }
}
