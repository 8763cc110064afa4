package loadbalancer.policy;

import java.util.List;
import loadbalancer.LoadReport;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.WeightState;

/**
 * Weights by reported utilization, the basis of the pick.
 *
 * <p>In each period an endpoint's weight rises or falls in proportion to how far its utilization
 * lies below or above the mean of the endpoints that reported recently. The input is the
 * utilization, from 0 to 1, in load reports.
 *
 * <p>Response times and errors have no influence, and no endpoint is excluded.
 */
final class UtilizationWeights {
    /** Change of the log weight per period for a utilization that differs from the mean by 1. */
    private static final double GAIN = 1;

    /** Fraction of the log weight that decays per period. */
    private static final double DECAY_RATIO = 0.02;

    /**
     * Bound of the log weight in either direction. With the exponent of the score, it allows about
     * 4.5 times the requests in flight.
     */
    private static final double MAX_LOG_WEIGHT = 6;

    /** Age above which a report counts as missing; such an endpoint gets the mean weight. */
    private static final long MAX_REPORT_AGE_MICROS = 3_000_000;

    /** Utilization above which an endpoint counts as having no idle time left. */
    private static final double SATURATED_UTILIZATION = 0.95;

    /** Minimum of the valid range; reports outside the range are ignored. */
    private static final double MIN_VALID_UTILIZATION = -0.5;

    private static final double MAX_VALID_UTILIZATION = 2;

    /** Returns the endpoint's weight; 1 without any report. */
    double weight(Endpoint endpoint) {
        return endpoint.weight().weight();
    }

    /** Gives a restarted process the weight of its predecessor on the same machine. */
    void inherit(Endpoint endpoint, Endpoint predecessor) {
        endpoint.weight().setLogWeight(predecessor.weight().logWeight());
    }

    /**
     * Processes a load report. {@code endpoint} and {@code report} may be null; invalid reports are
     * ignored.
     */
    void recordReport(Endpoint endpoint, LoadReport report, long nowMicros) {
        if (endpoint == null || report == null || !isValid(report)) {
            return;
        }
        endpoint.weight().recordReport(report, nowMicros);
    }

    private static boolean isValid(LoadReport report) {
        return report.utilization() >= MIN_VALID_UTILIZATION
                && report.utilization() <= MAX_VALID_UTILIZATION;
    }

    /**
     * Returns whether the endpoint recently reported no idle time, so that a longer queue would not
     * increase its throughput.
     */
    boolean isSaturated(Endpoint endpoint, long nowMicros) {
        WeightState state = endpoint.weight();
        return state.hasReportWithin(MAX_REPORT_AGE_MICROS, nowMicros)
                && state.report().utilization() > SATURATED_UTILIZATION;
    }

    /** Computes the weights for the next period. */
    void updateWeights(List<Endpoint> endpoints, long nowMicros) {
        double sum = 0;
        int reporting = 0;
        for (Endpoint endpoint : endpoints) {
            double utilization = recentUtilization(endpoint.weight(), nowMicros);
            endpoint.weight().setPeriodUtilization(utilization);
            sum += Double.isNaN(utilization) ? 0 : utilization;
            reporting += Double.isNaN(utilization) ? 0 : 1;
        }
        double meanUtilization = reporting == 0 ? 0 : sum / reporting;
        double logWeightSum = adjustReporting(endpoints, meanUtilization);
        for (Endpoint endpoint : endpoints) {
            WeightState state = endpoint.weight();
            if (Double.isNaN(state.periodUtilization())) {
                state.setLogWeight(
                        reporting == 0
                                ? state.logWeight() * (1 - DECAY_RATIO)
                                : logWeightSum / reporting);
            }
        }
    }

    private static double recentUtilization(WeightState state, long nowMicros) {
        return state.hasReportWithin(MAX_REPORT_AGE_MICROS, nowMicros)
                ? Math.max(0, Math.min(1, state.report().utilization()))
                : Double.NaN;
    }

    /** Adjusts the endpoints with a fresh report; returns the sum of their log weights. */
    private static double adjustReporting(List<Endpoint> endpoints, double meanUtilization) {
        double logWeightSum = 0;
        for (Endpoint endpoint : endpoints) {
            WeightState state = endpoint.weight();
            if (!Double.isNaN(state.periodUtilization())) {
                double logWeight =
                        state.logWeight() * (1 - DECAY_RATIO)
                                + GAIN * (meanUtilization - state.periodUtilization());
                state.setLogWeight(Math.max(-MAX_LOG_WEIGHT, Math.min(MAX_LOG_WEIGHT, logWeight)));
                logWeightSum += state.logWeight();
            }
        }
        return logWeightSum;
    }
}
