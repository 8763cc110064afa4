package loadbalancer.rollout.plan;

/** Metrics compared between baseline and canary balancers; higher values are worse. */
public enum Metric {
    /** Ratio of requests not served within their latency objective. */
    NOT_SERVED_ON_TIME("served", 0.01, false),
    /** Ratio of requests served after their latency objective. */
    SERVED_LATE("late", 0.01, false),
    /** Ratio of requests rejected by the balancer. */
    REJECTED("refused", 0.01, false),
    /** Ratio of requests with an error response or no response. */
    FAILED("failed", 0.01, false),
    /** Attempts per request. */
    ATTEMPTS("attempts", 0.1, false),
    /** Mean logarithm of the response time. */
    RESPONSE_TIME("time", 0.1, true),
    /** Logarithm of processor time per request. */
    CPU_TIME("processor", 0.2, true),
    /** Logarithm of resident memory. */
    MEMORY("memory", 0.3, true);

    private final String key;
    private final double defaultMargin;
    private final boolean isRelative;

    Metric(String key, double defaultMargin, boolean isRelative) {
        this.key = key;
        this.defaultMargin = defaultMargin;
        this.isRelative = isRelative;
    }

    /** Returns the key of the metric's margin in a plan. */
    public String key() {
        return key;
    }

    /** Returns the margin to use if a plan has none. */
    double defaultMargin() {
        return defaultMargin;
    }

    /** Returns whether the metric describes the whole process instead of a request class. */
    public boolean isProcessMetric() {
        return this == CPU_TIME || this == MEMORY;
    }

    /** Converts a plan's margin to the metric's scale; 0.1 of a relative metric means 10% more. */
    public double toMetricScale(double margin) {
        return isRelative ? Math.log1p(margin) : margin;
    }
}
