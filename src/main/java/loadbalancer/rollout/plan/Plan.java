package loadbalancer.rollout.plan;

import java.util.List;
import java.util.Map;

/**
 * A staged rollout as operators ask for it. Immutable; plans are equal if their keys are.
 *
 * @param key the first 32 hexadecimal digits of the SHA-256 of its text: identifies a plan,
 *     whatever it is called
 * @param id the operators' name
 * @param number of two concurrent plans the lower one wins; each new plan takes a higher one
 * @param text what is replicated, at most {@link PlanFile#MAX_BYTES} bytes
 * @param stageFractions fraction of the fleet in each stage, rising to 1
 * @param minServingFraction of the fleet that must serve while a further balancer changes
 * @param maxConcurrentChanges balancers that may change at one time
 * @param classMargins margins of the request classes that are analyzed apart, by name
 * @param defaultMargins margins of all other classes together, and of the process
 * @param zoneByMember each balancer's zone; its keys are the fleet that the plan is for
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
    /** The name under which all classes without margins of their own are counted. */
    public static final String OTHER_CLASSES = "-";

    /** Keeps a product of decimal fraction and members from being rounded up past a whole one. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** The lower number first, and of one number the lower key: the same at all members. */
    @Override
    public int compareTo(Plan other) {
        int byNumber = Long.compare(number, other.number);
        return byNumber != 0 ? byNumber : key.compareTo(other.key);
    }

    /** Balancers that must serve while a further one changes. */
    public int minServing() {
        return (int) Math.ceil(minServingFraction * zoneByMember.size() - ROUNDING_TOLERANCE);
    }

    /** Balancers that may be changing or down at one time. */
    public int maxUnavailable() {
        return zoneByMember.size() - minServing();
    }

    /** Number of stages; they count from 1, stage 0 is the time before the change. */
    public int stageCount() {
        return stageFractions.size();
    }

    /** For log lines. */
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
