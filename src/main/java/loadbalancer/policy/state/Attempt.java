package loadbalancer.policy.state;

import loadbalancer.AttemptOutcome;

/** One sending of a request to an endpoint. */
public final class Attempt {
    private final Endpoint endpoint;
    private final long sentAtMicros;
    private boolean isOutstanding = true;
    private boolean mayHaveExecuted = true;
    private boolean isConnectionLost;
    private boolean isCountedInFlight;
    private boolean hasReachedLimit;
    private double queueLengthAtSend;

    /** Creates an attempt that is being sent. */
    Attempt(Endpoint endpoint, long sentAtMicros) {
        this.endpoint = endpoint;
        this.sentAtMicros = sentAtMicros;
    }

    /** Returns the endpoint that the attempt was sent to. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns when the attempt was sent. */
    public long sentAtMicros() {
        return sentAtMicros;
    }

    /** Returns whether the attempt has not ended yet. */
    public boolean isOutstanding() {
        return isOutstanding;
    }

    /**
     * Returns whether the endpoint may have executed the request; true while the attempt is
     * outstanding.
     */
    public boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }

    /** Records that the attempt has ended with this outcome. */
    public void markEnded(AttemptOutcome outcome) {
        isOutstanding = false;
        mayHaveExecuted = !outcome.provesNoExecution();
        isConnectionLost =
                outcome == AttemptOutcome.CONNECTION_RESET
                        || outcome == AttemptOutcome.CONNECT_FAILED;
    }

    /**
     * Returns whether the connection was lost or could not be established, after which another
     * process may be at the address of the endpoint.
     */
    public boolean isConnectionLost() {
        return isConnectionLost;
    }

    /** Counts the attempt as in flight: the endpoint can work on it from now on. */
    public void startWork(double costMicros) {
        isCountedInFlight = true;
        endpoint.inFlight().add(costMicros);
    }

    /** Stops counting the attempt as in flight, if it was counted. */
    public void finishWork(double costMicros) {
        if (isCountedInFlight) {
            isCountedInFlight = false;
            endpoint.inFlight().remove(costMicros);
        }
    }

    /** Records whether the attempt used up the concurrency limit of its endpoint. */
    public void setReachedLimit(boolean hasReached) {
        hasReachedLimit = hasReached;
    }

    /**
     * Returns whether the attempt used up the concurrency limit. Only then does its response show
     * that the limit may be raised.
     */
    public boolean hasReachedLimit() {
        return hasReachedLimit;
    }

    /**
     * Records the queue length of the endpoint as known at the time of sending, including this
     * attempt.
     */
    public void setQueueLengthAtSend(double meanRequests) {
        queueLengthAtSend = meanRequests;
    }

    /**
     * Returns the queue length of the endpoint as known at the time of sending, in mean requests.
     */
    public double queueLengthAtSend() {
        return queueLengthAtSend;
    }
}
