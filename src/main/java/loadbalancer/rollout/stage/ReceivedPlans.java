package loadbalancer.rollout.stage;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.plan.InvalidPlanException;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.PlanFile;

/**
 * Parses the plans received from the fleet once each and logs invalid ones once. Not thread-safe.
 */
final class ReceivedPlans {
    /** Maximum number of cached texts, valid or not, which bounds the memory for received plans. */
    private static final int MAX_CACHED = 16;

    private final SharedState shared;
    private final Consumer<String> log;
    private final Map<String, Optional<Plan>> planByText =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Optional<Plan>> eldest) {
                    return size() > MAX_CACHED;
                }
            };

    ReceivedPlans(SharedState shared, Consumer<String> log) {
        this.shared = shared;
        this.log = log;
    }

    /** Parses a replicated text; empty if the plan is invalid or for another fleet. */
    Optional<Plan> parse(byte[] body) {
        if (body.length > PlanFile.MAX_BYTES) {
            return Optional.empty();
        }
        String text = new String(body, StandardCharsets.UTF_8);
        Optional<Plan> plan = planByText.get(text);
        if (plan == null) {
            plan = parseAndLog(text);
            planByText.put(text, plan);
        }
        return plan;
    }

    private Optional<Plan> parseAndLog(String text) {
        try {
            Plan plan = PlanFile.parse(text);
            if (plan.zoneByMember().keySet().equals(shared.roster())) {
                return Optional.of(plan);
            }
            log.accept(
                    "ignoring "
                            + plan.title()
                            + ": its members differ from those in the operator's file");
        } catch (InvalidPlanException e) {
            log.accept("ignoring an invalid plan: " + e.getMessage());
        }
        return Optional.empty();
    }
}
