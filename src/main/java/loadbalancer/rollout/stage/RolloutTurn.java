package loadbalancer.rollout.stage;

import java.util.Map;
import java.util.TreeMap;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.plan.Order;
import loadbalancer.rollout.plan.Plan;

/**
 * Whose turn it is. All change in the plan's order; a member that was away keeps its turn, and
 * takes up one of the few places that may be on the way or away at one time, whether it lives or
 * not.
 */
final class RolloutTurn {
    private final Plan plan;
    private final Order order;
    private final SharedState shared;

    RolloutTurn(Plan plan, Order order, SharedState shared) {
        this.plan = plan;
        this.order = order;
        this.shared = shared;
    }

    /** Why this member may not ask to begin in a stage; null if it may. */
    String whyNot(Votes votes, int stage) {
        int place = order.place(shared.self());
        if (place >= order.target(stage)) {
            return "not in this stage";
        }
        int away = 0;
        int underWay = 0;
        for (String name : order.names().subList(0, place)) {
            if (!votes.done(name)) {
                away++;
                underWay += shared.isAlive(name) ? 1 : 0;
            }
        }
        if (away >= plan.slack() || underWay >= plan.atOnce()) {
            return "others come first";
        }
        long serving =
                order.names().stream()
                        .filter(n -> !n.equals(shared.self()))
                        .filter(votes::serves)
                        .count();
        return serving < plan.least() ? "too few serve" : null;
    }

    /** Whom this member lets begin, given the stages whose verdict it holds. */
    Map<String, Long> grants(Votes votes, int passed) {
        Map<String, Long> grants = new TreeMap<>();
        int most = Math.min(Statement.MOST_GRANTS, Math.min(plan.slack(), plan.atOnce()));
        for (String name : order.names().subList(0, order.target(Math.min(passed, plan.last())))) {
            Statement s = votes.of(name);
            if (s != null && s.ask() != 0 && shared.isAlive(name) && grants.size() < most) {
                grants.put(name, s.ask());
            }
        }
        return grants;
    }
}
