package loadbalancer.policy.state;

/** What outlier detection keeps of one endpoint. */
public final class OutlierState {
    private double errorRatio;
    private long lastProgressAtMicros;
    private long lastResponseAtMicros = Timestamps.NEVER_MICROS;
    private long ejectedUntilMicros;
    private long nextEjectionMicros;
    private boolean isUnresponsive;

    /** Smoothed fraction of recent outcomes that were errors. */
    public double errorRatio() {
        return errorRatio;
    }

    /** Replaces the smoothed error ratio. */
    public void setErrorRatio(double ratio) {
        errorRatio = ratio;
    }

    /** Last outcome, or the first sending after nothing was in flight. */
    public long lastProgressAtMicros() {
        return lastProgressAtMicros;
    }

    /** Records an outcome, or a sending when nothing was in flight. */
    public void recordProgress(long nowMicros) {
        lastProgressAtMicros = nowMicros;
    }

    /** Last successful response. */
    public long lastResponseAtMicros() {
        return lastResponseAtMicros;
    }

    /** Records a successful response. */
    public void recordResponse(long nowMicros) {
        lastProgressAtMicros = nowMicros;
        lastResponseAtMicros = nowMicros;
        isUnresponsive = false;
    }

    /** Whether an ejection is running. */
    public boolean isEjected(long nowMicros) {
        return ejectedUntilMicros > nowMicros;
    }

    /** Starts an ejection, and sets how long the one after it will be. */
    public void eject(long untilMicros, long followingEjectionMicros) {
        ejectedUntilMicros = untilMicros;
        nextEjectionMicros = followingEjectionMicros;
    }

    /** Ends any ejection, and sets how long the next one will be. */
    public void endEjection(long firstEjectionMicros) {
        ejectedUntilMicros = 0;
        nextEjectionMicros = firstEjectionMicros;
    }

    /** How long the next ejection will be. */
    public long nextEjectionMicros() {
        return nextEjectionMicros;
    }

    /** Whether it has work and was found to give no response. */
    public boolean isUnresponsive() {
        return isUnresponsive;
    }

    /** Records that it has work and gives no response. */
    public void markUnresponsive() {
        isUnresponsive = true;
    }

    /** How much longer an ejection runs; 0 if none does. */
    long remainingEjectionMicros(long nowMicros) {
        return Math.max(0, ejectedUntilMicros - nowMicros);
    }

    void restore(double errors, long remainingEjectionMicros, long ejectionMicros, long nowMicros) {
        errorRatio = errors;
        if (remainingEjectionMicros > 0) {
            ejectedUntilMicros = nowMicros + remainingEjectionMicros;
            nextEjectionMicros = ejectionMicros;
        }
    }
}
