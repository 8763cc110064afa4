package loadbalancer.policy.state;

import loadbalancer.LoadReport;

/** What the utilisation weights keep of one endpoint. */
public final class WeightState {
    private double logWeight;
    private double weight = 1;
    private double periodUtilization = Double.NaN;
    private LoadReport report;
    private long reportAtMicros = Timestamps.NEVER_MICROS;

    /** Natural logarithm of the weight. */
    public double logWeight() {
        return logWeight;
    }

    /** Replaces the logarithm, and the weight with it. */
    public void setLogWeight(double value) {
        logWeight = value;
        weight = Math.exp(value);
    }

    /** The weight, 1 at first. */
    public double weight() {
        return weight;
    }

    /** Utilisation from 0 to 1 in the current period; NaN without a fresh report. */
    public double periodUtilization() {
        return periodUtilization;
    }

    /** Sets the utilisation for the current period; NaN for none. */
    public void setPeriodUtilization(double utilization) {
        periodUtilization = utilization;
    }

    /** The last report, null before the first. */
    public LoadReport report() {
        return report;
    }

    /** Keeps a report. */
    public void recordReport(LoadReport newReport, long nowMicros) {
        report = newReport;
        reportAtMicros = nowMicros;
    }

    /** Whether the last report is at most that old. */
    public boolean hasReportWithin(long maxAgeMicros, long nowMicros) {
        return nowMicros - reportAtMicros <= maxAgeMicros;
    }
}
