package loadbalancer.rollout.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RolloutOrderTest {
    @Property(tries = 100, seed = "7")
    void eachPrefixHasAProportionalNumberOfEachZone(
            @ForAll @IntRange(min = 5, max = 100) int members,
            @ForAll @IntRange(min = 1, max = 6) int zones,
            @ForAll int id) {
        Map<String, String> fleet = new TreeMap<>();
        Random random = new Random(id);
        for (int i = 0; i < members; i++) {
            fleet.put("b" + i, "z" + random.nextInt(zones));
        }
        RolloutOrder order = RolloutOrder.of("plan" + id, fleet, List.of(1.0));
        assertEquals(fleet.keySet(), new TreeSet<>(order.members()));
        for (String zone : new TreeSet<>(fleet.values())) {
            double fraction =
                    fleet.values().stream().filter(zone::equals).count() / (double) members;
            for (int length = 1; length <= members; length++) {
                long inPrefix =
                        order.members().subList(0, length).stream()
                                .map(fleet::get)
                                .filter(zone::equals)
                                .count();
                assertEquals(
                        fraction * length,
                        inPrefix,
                        zones / 2.0 + 1,
                        zone + " in the first " + length);
            }
        }
    }

    @Test
    void orderDependsOnlyOnNamesZonesAndPlanId() {
        Map<String, String> fleet = PlanFileTest.fleet(30);
        Map<String, String> reversed = new LinkedHashMap<>();
        List<String> names = new ArrayList<>(fleet.keySet());
        Collections.reverse(names);
        names.forEach(name -> reversed.put(name, fleet.get(name)));
        List<String> members = RolloutOrder.of("x", fleet, List.of(1.0)).members();
        assertEquals(members, RolloutOrder.of("x", reversed, List.of(1.0)).members());
        assertNotEquals(
                members,
                RolloutOrder.of("y", fleet, List.of(1.0)).members(),
                "the order depends on the plan id");
    }

    @Test
    void targetCountIsNeverRoundedUp() {
        assertEquals(1, RolloutOrder.targetCount(0.1, 19));
        assertEquals(29, RolloutOrder.targetCount(0.29, 100));
        assertEquals(7, RolloutOrder.targetCount(0.7, 10));
        assertEquals(5, RolloutOrder.targetCount(0.5, 11));
    }
}
