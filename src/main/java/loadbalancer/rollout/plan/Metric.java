package loadbalancer.rollout.plan;

import java.util.Locale;

/** What is compared between old and new balancers, each so that more of it is worse. */
public enum Metric {
    /** Share of requests not served within their aim. */
    SERVED(0.01, false),
    /** Share answered, but after the aim. */
    LATE(0.01, false),
    /** Share refused by the balancer. */
    REFUSED(0.01, false),
    /** Share that got a bad answer or none. */
    FAILED(0.01, false),
    /** Attempts a request. */
    ATTEMPTS(0.1, false),
    /** Logarithm of the answer time. */
    TIME(0.1, true),
    /** Logarithm of processor time a request. */
    PROCESSOR(0.2, true),
    /** Logarithm of the memory in use. */
    MEMORY(0.3, true);

    private final double usual;
    private final boolean relative;

    Metric(double usual, boolean relative) {
        this.usual = usual;
        this.relative = relative;
    }

    /** The name in a plan. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * The margin of a plan that says nothing: what the over-dispersion of a quiet day hides anyway.
     */
    double usual() {
        return usual;
    }

    /** Whether it is of the process as a whole and not of one class. */
    public boolean ofProcess() {
        return this == PROCESSOR || this == MEMORY;
    }

    /** A plan's margin on the metric's own scale: of relative ones 0.1 means a tenth more. */
    public double scaled(double margin) {
        return relative ? Math.log1p(margin) : margin;
    }
}
