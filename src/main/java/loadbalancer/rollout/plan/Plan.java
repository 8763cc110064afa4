package loadbalancer.rollout.plan;

import java.util.List;
import java.util.Map;

/**
 * The plan of a staged rollout, written by operators. Immutable; plans with the same key are equal.
 *
 * @param key first 32 hexadecimal digits of the SHA-256 of the text, which identify the plan
 *     independently of its name
 * @param id name given by the operators
 * @param number each new plan has a higher number; of concurrent plans the lowest number wins
 * @param text replicated text, at most {@link PlanFile#MAX_BYTES} bytes
 * @param stageFractions fraction of the fleet changed in each stage, increasing to 1
 * @param minServingFraction fraction of the fleet that must serve while another balancer changes
 * @param maxConcurrentChanges number of balancers that may change at the same time
 * @param classMargins margins of the request classes that are analyzed separately, by name
 * @param defaultMargins margins of the process and of all other classes, analyzed together
 * @param zoneByMember zone of each balancer; the keys are the members of the fleet
 */
public record Plan(
        String key,
        String id,
        long number,
        String text,
        PlannedChange change,
        List<Double> stageFractions,
        double minServingFraction,
        int maxConcurrentChanges,
        Exposure exposure,
        Map<String, Map<Metric, Double>> classMargins,
        Map<Metric, Double> defaultMargins,
        Map<String, String> zoneByMember)
        implements Comparable<Plan> {
    /** The name that stands for all classes without margins of their own. */
    public static final String OTHER_CLASSES = "-";

    /** Prevents a floating-point error in fraction times members from being rounded up. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** Orders plans by number, then by key, which is the same order at all members. */
    @Override
    public int compareTo(Plan other) {
        int byNumber = Long.compare(number, other.number);
        return byNumber != 0 ? byNumber : key.compareTo(other.key);
    }

    /** Returns how many balancers must serve while another one changes. */
    public int minServing() {
        return (int) Math.ceil(minServingFraction * zoneByMember.size() - ROUNDING_TOLERANCE);
    }

    /** Returns how many balancers may be changing or down at the same time. */
    public int maxUnavailable() {
        return zoneByMember.size() - minServing();
    }

    /** Returns the number of stages, counted from 1; stage 0 is the time before the change. */
    public int stageCount() {
        return stageFractions.size();
    }

    /** Returns the name and number for log lines. */
    public String title() {
        return "plan " + id + ", number " + number;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Plan plan && plan.key.equals(key);
    }

    @Override
    public int hashCode() {
        return key.hashCode();
    }
}
