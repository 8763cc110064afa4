package loadbalancer.lab;

import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/** A mean with the half-width of its 95% interval by Student's t; infinite for one value. */
record Interval(double mean, double half, long count) {
    static Interval of(List<Double> values) {
        SummaryStatistics s = new SummaryStatistics();
        values.forEach(s::addValue);
        long n = s.getN();
        double half =
                n < 2
                        ? Double.POSITIVE_INFINITY
                        : new TDistribution(null, n - 1).inverseCumulativeProbability(0.975)
                                * s.getStandardDeviation()
                                / Math.sqrt(n);
        return new Interval(n == 0 ? Double.NaN : s.getMean(), half, n);
    }

    /** Whether 0 lies within, so that a difference of this size may be chance. */
    boolean noise() {
        return !(Math.abs(mean) > half);
    }

    String text() {
        return Double.isInfinite(half)
                ? String.format(java.util.Locale.ROOT, "%.4f", mean)
                : String.format(java.util.Locale.ROOT, "%.4f ± %.4f", mean, half);
    }
}
