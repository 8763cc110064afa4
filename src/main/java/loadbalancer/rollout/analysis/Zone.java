package loadbalancer.rollout.analysis;

import java.util.ArrayList;
import java.util.List;

/** Old and new balancers' changes against their own time before, in one unit and one metric. */
final class Zone {
    private final List<Double> olds = new ArrayList<>();
    private final List<Double> news = new ArrayList<>();
    private double oldErrors;
    private double newErrors;

    void add(boolean isNew, double change, double error) {
        (isNew ? news : olds).add(change);
        if (isNew) {
            newErrors += error;
        } else {
            oldErrors += error;
        }
    }

    boolean paired() {
        return !olds.isEmpty() && !news.isEmpty();
    }

    /**
     * Adds this zone's to a whole, from the zone's own middle; a zone with one sort only compares
     * nothing. Nor does one whose old balancers are far from how they were: its upstreams fail by
     * themselves, and how hard that hits a balancer is its own habit, which a quiet time before
     * can't tell.
     */
    void into(Zone whole, double bound, double incident) {
        if (!paired() || Math.abs(RobustStatistics.median(array(olds))) > incident) {
            return;
        }
        List<Double> all = new ArrayList<>(olds);
        all.addAll(news);
        double middle = RobustStatistics.median(array(all));
        for (double change : olds) {
            whole.olds.add(bounded(change - middle, bound));
        }
        for (double change : news) {
            whole.news.add(bounded(change - middle, bound));
        }
        whole.oldErrors += oldErrors;
        whole.newErrors += newErrors;
    }

    private static double bounded(double value, double bound) {
        return Math.max(-bound, Math.min(bound, value));
    }

    /** How much worse the new ones are. */
    double difference() {
        return RobustStatistics.trimmed(array(news)) - RobustStatistics.trimmed(array(olds));
    }

    /** Variance of the difference that comes of the time before. */
    double error() {
        return oldErrors / olds.size() / olds.size() + newErrors / news.size() / news.size();
    }

    static double[] array(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).toArray();
    }
}
