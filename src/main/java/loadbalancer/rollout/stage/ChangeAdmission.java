package loadbalancer.rollout.stage;

import java.util.Map;
import java.util.TreeMap;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.RolloutOrder;

/**
 * Decides which members may change now. Members change in the plan's order. A member that is down
 * keeps its position and counts towards the maximum number of unavailable members.
 *
 * <p>Has no mutable state; called from the fleet's thread.
 */
final class ChangeAdmission {
    private final Plan plan;
    private final RolloutOrder order;
    private final SharedState shared;

    ChangeAdmission(Plan plan, RolloutOrder order, SharedState shared) {
        this.plan = plan;
        this.order = order;
        this.shared = shared;
    }

    /** Returns whether this member may request to start its change in a stage. */
    boolean mayRequest(RolloutVotes votes, int stage) {
        int position = order.position(shared.self());
        return position < order.targetCount(stage)
                && hasFreeSlot(votes, position)
                && enoughOthersServe(votes);
    }

    private boolean hasFreeSlot(RolloutVotes votes, int position) {
        int unchanged = 0;
        int unchangedAlive = 0;
        for (String member : order.members().subList(0, position)) {
            if (!votes.hasChanged(member)) {
                unchanged++;
                unchangedAlive += shared.isPresent(member) ? 1 : 0;
            }
        }
        return unchanged < plan.maxUnavailable() && unchangedAlive < plan.maxConcurrentChanges();
    }

    private boolean enoughOthersServe(RolloutVotes votes) {
        long serving =
                order.members().stream()
                        .filter(member -> !member.equals(shared.self()))
                        .filter(votes::isServing)
                        .count();
        return serving >= plan.minServing();
    }

    /** Returns the requests that this member grants, by member, after some stages have passed. */
    Map<String, Long> grants(RolloutVotes votes, int passedStages) {
        Map<String, Long> grants = new TreeMap<>();
        int maxGrants =
                Math.min(
                        RolloutStatement.MAX_GRANTS,
                        Math.min(plan.maxUnavailable(), plan.maxConcurrentChanges()));
        int target = order.targetCount(Math.min(passedStages, plan.stageCount()));
        for (String member : order.members().subList(0, target)) {
            long requestId = votes.of(member).map(RolloutStatement::requestId).orElse(0L);
            if (requestId != 0 && shared.isPresent(member) && grants.size() < maxGrants) {
                grants.put(member, requestId);
            }
        }
        return grants;
    }
}
