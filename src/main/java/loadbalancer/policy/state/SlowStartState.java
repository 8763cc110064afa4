package loadbalancer.policy.state;

import loadbalancer.policy.data.TokenBucket;

/** State of slow start for one endpoint. */
public final class SlowStartState {
    private final TokenBucket workBucket = new TokenBucket();
    private double servedWorkPerMicro;
    private double servedWorkMicros;

    /**
     * Returns the bucket of work that the endpoint may get while it warms up; one token is a
     * microsecond of work.
     */
    public TokenBucket workBucket() {
        return workBucket;
    }

    /**
     * Returns the smoothed rate at which the endpoint serves work for this balancer, in
     * microseconds of work per microsecond.
     */
    public double servedWorkPerMicro() {
        return servedWorkPerMicro;
    }

    /** Adds work that the endpoint has served. */
    public void addServedWork(double costMicros) {
        servedWorkMicros += costMicros;
    }

    /** Ends a measurement period and updates the smoothed rate. */
    public void endPeriod(long periodMicros, double smoothing) {
        servedWorkPerMicro += smoothing * (servedWorkMicros / periodMicros - servedWorkPerMicro);
        servedWorkMicros = 0;
    }

    void restore(double savedWorkPerMicro, double savedTokens, long nowMicros) {
        servedWorkPerMicro = savedWorkPerMicro;
        workBucket.restart(savedTokens, nowMicros);
    }
}
