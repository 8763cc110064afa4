package loadbalancer.policy;

import java.util.List;
import loadbalancer.LoadReport;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.WeightState;

/**
 * The mechanism. Each period every upstream is reweighted by how far its reported utilisation lies
 * below or above the mean of those that reported lately.
 */
final class UtilizationWeights {
    static final long PERIOD = 250_000; // mean reweighting period, jittered: balancers drift apart
    private static final double GAIN =
            1; // change of the log weight per period, for 1.0 off the mean
    private static final double LEAK = 0.02; // share of the log weight forgotten each period
    private static final double CLAMP =
            6; // bound of the log weight: 4.5 times as many in flight either way
    private static final long FRESH =
            3_000_000; // an older report says nothing; the mean weight applies
    private static final double BUSY =
            0.95; // reported utilisation from which on a limit rises no more

    static double of(Endpoint up) {
        return up.weight.weight;
    }

    /** Another process in the same place is on the same machine. */
    static void inherit(Endpoint up, Endpoint before) {
        up.weight.set(before.weight.log);
    }

    /** A report that can't be right is passed over. */
    static void learn(Endpoint up, LoadReport report, long now) {
        if (up == null
                || report == null
                || !(report.utilization() >= -0.5 && report.utilization() <= 2)) {
            return;
        }
        up.weight.report = report;
        up.weight.reportAt = now;
    }

    /** One that reports no idle time gets no faster by a longer line, whatever its answers take. */
    static boolean busy(Endpoint up, long now) {
        return now - up.weight.reportAt <= FRESH && up.weight.report.utilization() > BUSY;
    }

    static void reweight(List<Endpoint> ups, long now) {
        double sum = 0;
        int fresh = 0;
        for (Endpoint up : ups) {
            WeightState w = up.weight;
            w.load =
                    now - w.reportAt > FRESH
                            ? Double.NaN
                            : Math.max(0, Math.min(1, w.report.utilization()));
            sum += Double.isNaN(w.load) ? 0 : w.load;
            fresh += Double.isNaN(w.load) ? 0 : 1;
        }
        double mean = fresh == 0 ? 0 : sum / fresh;
        double logSum = 0;
        for (Endpoint up : ups) {
            WeightState w = up.weight;
            if (!Double.isNaN(w.load)) {
                double moved = w.log * (1 - LEAK) + GAIN * (mean - w.load);
                w.log = Math.max(-CLAMP, Math.min(CLAMP, moved));
                logSum += w.log;
            }
        }
        for (Endpoint up : ups) {
            WeightState w = up.weight;
            if (Double.isNaN(w.load)) {
                w.log = fresh == 0 ? w.log * (1 - LEAK) : logSum / fresh;
            }
            w.set(w.log);
        }
    }
}
