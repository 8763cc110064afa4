package loadbalancer.policy.state;

import loadbalancer.LoadReport;

/** State of the utilization weight of one endpoint. */
public final class WeightState {
    private double logWeight;
    private double weight = 1;
    private double periodUtilization = Double.NaN;
    private LoadReport report;
    private long reportAtMicros = Timestamps.NEVER_MICROS;

    /** Returns the natural logarithm of the weight. */
    public double logWeight() {
        return logWeight;
    }

    /** Sets the natural logarithm of the weight, and the weight with it. */
    public void setLogWeight(double value) {
        logWeight = value;
        weight = Math.exp(value);
    }

    /** Returns the weight; 1 initially. */
    public double weight() {
        return weight;
    }

    /** Returns the utilization in the current period, from 0 to 1; NaN without a recent report. */
    public double periodUtilization() {
        return periodUtilization;
    }

    /** Sets the utilization for the current period; NaN for none. */
    public void setPeriodUtilization(double utilization) {
        periodUtilization = utilization;
    }

    /** Returns the last load report; null before the first. */
    public LoadReport report() {
        return report;
    }

    /** Stores a load report. */
    public void recordReport(LoadReport newReport, long nowMicros) {
        report = newReport;
        reportAtMicros = nowMicros;
    }

    /** Returns whether the last report is not older than the given age. */
    public boolean hasReportWithin(long maxAgeMicros, long nowMicros) {
        return nowMicros - reportAtMicros <= maxAgeMicros;
    }
}
