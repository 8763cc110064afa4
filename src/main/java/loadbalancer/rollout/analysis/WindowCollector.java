package loadbalancer.rollout.analysis;

import java.util.Map;
import java.util.TreeMap;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.RolloutOrder;

/**
 * Collects the counters of a window from the fleet and checks whether they are complete. Windows
 * are numbered by the wall clock. Not thread-safe; has no mutable state.
 */
final class WindowCollector {
    /** Fraction of the stage's canary balancers required; all are required below ten. */
    private static final double MIN_CANARY_FRACTION = 0.9;

    /** Limits the requests of a balancer to a multiple of those of the typical balancer. */
    private static final double MAX_TYPICAL_LOADS = 4;

    private final Plan plan;
    private final RolloutOrder order;
    private final SharedState shared;

    WindowCollector(Plan plan, RolloutOrder order, SharedState shared) {
        this.plan = plan;
        this.order = order;
        this.shared = shared;
    }

    /** Returns the valid counters by member, without members not admitted to their cohort. */
    Map<String, long[]> collect(MetricGroup group, long window, int stage) {
        Map<String, long[]> countersByMember = new TreeMap<>();
        for (Counters counters : shared.counters(group.topic(), window).values()) {
            String member = counters.member();
            boolean isUsable =
                    plan.zoneByMember().containsKey(member)
                            && shared.isEligibleVoter(member)
                            && WindowCounters.isValid(counters.values(), group.valueCount());
            if (isUsable
                    && (!WindowCounters.isCanary(counters.values())
                            || order.position(member) < order.targetCount(stage))) {
                countersByMember.put(member, counters.values());
            }
        }
        return countersByMember;
    }

    /** Returns whether there are counters of enough members of both cohorts. */
    boolean isComplete(Map<String, long[]> countersByMember, int stage) {
        int members = plan.zoneByMember().size();
        int target = order.targetCount(stage);
        long canaries = countersByMember.values().stream().filter(WindowCounters::isCanary).count();
        long baselines = countersByMember.size() - canaries;
        return stage == 0
                ? baselines >= plan.minServing()
                : canaries >= Math.ceil(MIN_CANARY_FRACTION * target)
                        && 2 * baselines >= members - target;
    }

    /** Returns the requests served by the canary, from the counters of the process. */
    static double canaryRequests(Map<String, long[]> processCounters) {
        double typical =
                CohortStatistics.median(
                        processCounters.values().stream()
                                .mapToDouble(values -> values[WindowCounters.REQUESTS])
                                .toArray());
        return processCounters.values().stream()
                .filter(WindowCounters::isCanary)
                .mapToDouble(
                        values ->
                                Math.min(
                                        values[WindowCounters.REQUESTS],
                                        MAX_TYPICAL_LOADS * typical))
                .sum();
    }
}
