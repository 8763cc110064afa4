package loadbalancer.policy.state;

import loadbalancer.LoadReport;

/** What the mechanism keeps of an upstream. */
public final class WeightState {
    /** Logarithm of the weight. */
    public double log;

    /** The weight. */
    public double weight = 1;

    /** Reported utilisation from 0 to 1 as of the last period, NaN if there was no fresh report. */
    public double load = Double.NaN;

    /** The last report, null before the first. */
    public LoadReport report;

    /** When it came. */
    public long reportAt = OutlierState.NEVER;

    /** Sets both. */
    public void set(double logWeight) {
        log = logWeight;
        weight = Math.exp(logWeight);
    }
}
