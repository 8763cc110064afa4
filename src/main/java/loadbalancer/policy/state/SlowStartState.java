package loadbalancer.policy.state;

import loadbalancer.policy.data.TokenBucket;

/** What slow start keeps of one endpoint. */
public final class SlowStartState {
    private final TokenBucket workBucket = new TokenBucket();
    private double servedWorkPerMicro;
    private double servedWorkMicros;

    /** Work that it may still be given while it warms up; a token is a microsecond of work. */
    public TokenBucket workBucket() {
        return workBucket;
    }

    /** Smoothed work that it serves for this balancer, in microseconds of work a microsecond. */
    public double servedWorkPerMicro() {
        return servedWorkPerMicro;
    }

    /** Adds work that it has served. */
    public void addServedWork(double costMicros) {
        servedWorkMicros += costMicros;
    }

    /** Ends a measuring period: smooths its rate into the served rate. */
    public void endPeriod(long periodMicros, double smoothing) {
        servedWorkPerMicro += smoothing * (servedWorkMicros / periodMicros - servedWorkPerMicro);
        servedWorkMicros = 0;
    }

    void restore(double savedWorkPerMicro, double savedTokens, long nowMicros) {
        servedWorkPerMicro = savedWorkPerMicro;
        workBucket.restart(savedTokens, nowMicros);
    }
}
