package loadbalancer.rollout.analysis;

import java.util.Arrays;

/**
 * How one balancer did under the old program in quiet times, in one metric. Of batches of 30 s and
 * not of windows: what happens within half a minute hangs together, and its spread would look
 * smaller than it is. The median and the median deviation of the batches, since upstreams that
 * failed by themselves for a while must not make all that comes later look good.
 */
final class QuietBaseline {
    /** Windows of a batch. */
    static final int BATCH = 6;

    /** With fewer batches nobody can tell the spread. */
    private static final int FEWEST = 4;

    /** An hour of them; what comes later would change little. */
    private static final int MOST = 120;

    /** From the median deviation to the standard deviation of a normal distribution. */
    private static final double DEVIATION = 1.4826;

    /** The variance of a median over that of a mean, pi / 2 for a normal distribution. */
    private static final double OF_MEDIAN = Math.PI / 2;

    private double[] batches = new double[0];
    private double middle;
    private double error;

    void add(double mean) {
        if (Double.isNaN(mean) || batches.length == MOST) {
            return;
        }
        batches = Arrays.copyOf(batches, batches.length + 1);
        batches[batches.length - 1] = mean;
        middle = RobustStatistics.median(batches);
        double off =
                DEVIATION
                        * RobustStatistics.median(
                                Arrays.stream(batches).map(b -> Math.abs(b - middle)).toArray());
        error = OF_MEDIAN * off * off / batches.length;
    }

    boolean known() {
        return batches.length >= FEWEST;
    }

    double middle() {
        return middle;
    }

    /** Variance of the middle. */
    double error() {
        return error;
    }
}
