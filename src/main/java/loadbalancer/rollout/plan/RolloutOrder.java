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
 * Determines the order in which balancers change. The order depends only on names, zones and the
 * plan's id, so it is the same at all members. Names are shuffled by a hash within their zone, and
 * zones are interleaved: each prefix of the order has a proportional number of balancers of each
 * zone, to within one.
 *
 * <p>Immutable.
 */
public final class RolloutOrder {
    private final List<String> members;
    private final Map<String, Integer> positions = new HashMap<>();
    private final List<Double> stageFractions;

    private RolloutOrder(List<String> members, List<Double> stageFractions) {
        this.members = members;
        this.stageFractions = stageFractions;
        for (String member : members) {
            positions.put(member, positions.size());
        }
    }

    /** Returns the order of a plan. */
    public static RolloutOrder of(Plan plan) {
        return of(plan.id(), plan.zoneByMember(), plan.stageFractions());
    }

    static RolloutOrder of(
            String planId, Map<String, String> zoneByMember, List<Double> stageFractions) {
        record Placed(String member, double fractionOfZone, long hash) {}
        Map<String, List<String>> membersByZone = new TreeMap<>();
        zoneByMember.forEach(
                (member, zone) ->
                        membersByZone.computeIfAbsent(zone, name -> new ArrayList<>()).add(member));
        List<Placed> placed = new ArrayList<>();
        for (List<String> zone : membersByZone.values()) {
            zone.sort(
                    Comparator.<String>comparingLong(member -> hash(planId, member))
                            .thenComparing(Comparator.naturalOrder()));
            for (int i = 0; i < zone.size(); i++) {
                String member = zone.get(i);
                placed.add(new Placed(member, (i + 0.5) / zone.size(), hash(planId, member)));
            }
        }
        placed.sort(
                Comparator.comparingDouble(Placed::fractionOfZone)
                        .thenComparingLong(Placed::hash)
                        .thenComparing(Placed::member));
        return new RolloutOrder(placed.stream().map(Placed::member).toList(), stageFractions);
    }

    private static long hash(String planId, String member) {
        return Hashing.xxh3_64().hashCharsToLong(planId + '\n' + member);
    }

    /** Returns all members in the order in which they change. */
    public List<String> members() {
        return members;
    }

    /** Returns a member's position from 0, or {@link Integer#MAX_VALUE} if not in the plan. */
    public int position(String member) {
        return positions.getOrDefault(member, Integer.MAX_VALUE);
    }

    /** Returns how many members may run the new program in a stage; 0 in stage 0. */
    public int targetCount(int stage) {
        return stage == 0
                ? 0
                : targetCount(
                        stageFractions.get(Math.min(stage, stageFractions.size()) - 1),
                        members.size());
    }

    /** Returns the fraction of the members, rounded down, in exact decimal arithmetic. */
    static int targetCount(double fraction, int members) {
        return BigDecimal.valueOf(fraction).multiply(BigDecimal.valueOf(members)).intValue();
    }
}
