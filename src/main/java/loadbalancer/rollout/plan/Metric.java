package loadbalancer.rollout.plan;

/** What is compared between baseline and canary balancers; more of it is worse. */
public enum Metric {
    /** Ratio of requests not served within their latency objective. */
    NOT_SERVED_ON_TIME("served", 0.01, false),
    /** Ratio of requests served after their latency objective. */
    SERVED_LATE("late", 0.01, false),
    /** Ratio of requests rejected by the balancer. */
    REJECTED("refused", 0.01, false),
    /** Ratio of requests with an error response, or none. */
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

    /** The key of its margin in a plan. */
    public String key() {
        return key;
    }

    /** The margin where a plan gives none. */
    double defaultMargin() {
        return defaultMargin;
    }

    /** Whether it is a metric of the process as a whole, not of a request class. */
    public boolean isProcessMetric() {
        return this == CPU_TIME || this == MEMORY;
    }

    /** A plan's margin on the metric's own scale: of a relative metric, 0.1 means a tenth more. */
    public double toMetricScale(double margin) {
        return isRelative ? Math.log1p(margin) : margin;
    }
}
