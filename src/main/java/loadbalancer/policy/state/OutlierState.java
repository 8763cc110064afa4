package loadbalancer.policy.state;

/** State of outlier detection for one endpoint. */
public final class OutlierState {
    private double errorRatio;
    private long lastProgressAtMicros;
    private long lastResponseAtMicros = Timestamps.NEVER_MICROS;
    private long ejectedUntilMicros;
    private long nextEjectionMicros;
    private boolean isUnresponsive;

    /** Returns the smoothed fraction of recent outcomes that were errors. */
    public double errorRatio() {
        return errorRatio;
    }

    /** Replaces the smoothed error ratio. */
    public void setErrorRatio(double ratio) {
        errorRatio = ratio;
    }

    /**
     * Returns the time of the last outcome, or of the first attempt that was sent while none was in
     * flight.
     */
    public long lastProgressAtMicros() {
        return lastProgressAtMicros;
    }

    /** Records the time of an outcome, or of an attempt that is sent while none is in flight. */
    public void recordProgress(long nowMicros) {
        lastProgressAtMicros = nowMicros;
    }

    /** Returns the time of the last successful response. */
    public long lastResponseAtMicros() {
        return lastResponseAtMicros;
    }

    /** Records a successful response. */
    public void recordResponse(long nowMicros) {
        lastProgressAtMicros = nowMicros;
        lastResponseAtMicros = nowMicros;
        isUnresponsive = false;
    }

    /** Returns whether the endpoint is ejected. */
    public boolean isEjected(long nowMicros) {
        return ejectedUntilMicros > nowMicros;
    }

    /** Starts an ejection, and sets the duration of the one after it. */
    public void eject(long untilMicros, long followingEjectionMicros) {
        ejectedUntilMicros = untilMicros;
        nextEjectionMicros = followingEjectionMicros;
    }

    /** Ends any ejection, and sets the duration of the next one. */
    public void endEjection(long firstEjectionMicros) {
        ejectedUntilMicros = 0;
        nextEjectionMicros = firstEjectionMicros;
    }

    /** Returns the duration of the next ejection. */
    public long nextEjectionMicros() {
        return nextEjectionMicros;
    }

    /**
     * Returns whether the endpoint was found to have requests in flight and to give no response.
     */
    public boolean isUnresponsive() {
        return isUnresponsive;
    }

    /** Records that the endpoint has requests in flight and gives no response. */
    public void markUnresponsive() {
        isUnresponsive = true;
    }

    /** Returns the remaining time of the ejection; 0 if the endpoint is not ejected. */
    long remainingEjectionMicros(long nowMicros) {
        return Math.max(0, ejectedUntilMicros - nowMicros);
    }

    void restore(
            double savedErrorRatio,
            long remainingEjectionMicros,
            long ejectionMicros,
            long nowMicros) {
        errorRatio = savedErrorRatio;
        if (remainingEjectionMicros > 0) {
            ejectedUntilMicros = nowMicros + remainingEjectionMicros;
            nextEjectionMicros = ejectionMicros;
        }
    }
}
