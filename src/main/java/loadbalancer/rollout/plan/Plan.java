package loadbalancer.rollout.plan;

import java.util.List;
import java.util.Map;

/**
 * A change as operators ask for it.
 *
 * @param key the first 32 hex digits of the SHA-256 of its text: tells plans apart, whatever they
 *     are called
 * @param id what operators call it
 * @param number of two plans at one time the lower one wins; each new plan takes a higher one
 * @param text what spreads, at most {@link PlanFile#LONGEST} bytes
 * @param stages shares of the fleet, rising to 1
 * @param floor share of the fleet that must serve while a further balancer changes
 * @param atOnce balancers that change at one time at most
 * @param classes margins of the classes that are judged apart, by name
 * @param others margins of all other classes together, and of the process
 * @param zones each balancer's zone; its names are the fleet that the plan is for
 */
public record Plan(
        String key,
        String id,
        long number,
        String text,
        Change change,
        List<Double> stages,
        double floor,
        int atOnce,
        Exposure exposure,
        Map<String, Map<Metric, Double>> classes,
        Map<Metric, Double> others,
        Map<String, String> zones)
        implements Comparable<Plan> {
    /** Under which all classes without margins of their own are counted. */
    public static final String OTHERS = "-";

    /** The lower number wins, and of one number the lower key, the same everywhere. */
    @Override
    public int compareTo(Plan other) {
        int byNumber = Long.compare(number, other.number);
        return byNumber != 0 ? byNumber : key.compareTo(other.key);
    }

    /** Balancers that must serve while a further one changes. */
    public int least() {
        return (int) Math.ceil(floor * zones.size() - 1e-9);
    }

    /** Balancers that may be on the way or away at one time. */
    public int slack() {
        return zones.size() - least();
    }

    /** How many stages there are; they count from 1, and 0 is the time before the change. */
    public int last() {
        return stages.size();
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
