package loadbalancer.rollout.plan;

import com.dynatrace.hash4j.hashing.Hashing;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who changes when: follows from names, zones and the plan's id alone, so that all members have the
 * same order. Names are shuffled by a hash within their zone, and the zones dealt out evenly: each
 * beginning of the order holds of each zone its share, to within one.
 */
public final class Order {
    private final List<String> names;
    private final Map<String, Integer> places = new HashMap<>();
    private final List<Double> stages;

    private Order(List<String> names, List<Double> stages) {
        this.names = names;
        this.stages = stages;
        for (String name : names) {
            places.put(name, places.size());
        }
    }

    /** The order of a plan. */
    public static Order of(Plan plan) {
        return of(plan.id(), plan.zones(), plan.stages());
    }

    static Order of(String id, Map<String, String> zones, List<Double> stages) {
        record Placed(String name, double along, long hash) {}
        Map<String, List<String>> byZone = new TreeMap<>();
        zones.forEach(
                (name, zone) -> byZone.computeIfAbsent(zone, z -> new ArrayList<>()).add(name));
        List<Placed> placed = new ArrayList<>();
        for (List<String> zone : byZone.values()) {
            zone.sort(Comparator.<String>comparingLong(n -> hash(id, n)).thenComparing(n -> n));
            for (int i = 0; i < zone.size(); i++) {
                placed.add(new Placed(zone.get(i), (i + 0.5) / zone.size(), hash(id, zone.get(i))));
            }
        }
        placed.sort(
                Comparator.comparingDouble(Placed::along)
                        .thenComparingLong(Placed::hash)
                        .thenComparing(Placed::name));
        return new Order(placed.stream().map(Placed::name).toList(), stages);
    }

    private static long hash(String id, String name) {
        return Hashing.xxh3_64().hashCharsToLong(id + '\n' + name);
    }

    /** All balancers, the first to change first. */
    public List<String> names() {
        return names;
    }

    /** A balancer's place from 0; past all others for one that the plan does not know. */
    public int place(String name) {
        return places.getOrDefault(name, Integer.MAX_VALUE);
    }

    /** How many may be on the new program in a stage: its share, rounded down; none in stage 0. */
    public int target(int stage) {
        return stage == 0
                ? 0
                : target(stages.get(Math.min(stage, stages.size()) - 1), names.size());
    }

    /**
     * Exact: a share written with decimals must not lose a balancer to binary fractions, nor win
     * one.
     */
    static int target(double share, int members) {
        return BigDecimal.valueOf(share).multiply(BigDecimal.valueOf(members)).intValue();
    }
}
