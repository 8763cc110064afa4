package loadbalancer.policy.state;

/** One sending of a request to an endpoint. */
public final class Attempt {
    private final Endpoint endpoint;
    private final long sentAtMicros;
    private boolean isOutstanding = true;
    private boolean mayHaveRun = true;
    private boolean isCountedInFlight;
    private boolean hasFilledLimit;
    private double queueLengthAtSend;

    /** Creates one that is being sent. */
    Attempt(Endpoint endpoint, long sentAtMicros) {
        this.endpoint = endpoint;
        this.sentAtMicros = sentAtMicros;
    }

    /** Where it was sent. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** When it was sent. */
    public long sentAtMicros() {
        return sentAtMicros;
    }

    /** Whether its end is still to come. */
    public boolean isOutstanding() {
        return isOutstanding;
    }

    /** Whether the endpoint may have executed it; true while it is outstanding. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Records its end. */
    public void markEnded(boolean neverRan) {
        isOutstanding = false;
        mayHaveRun = !neverRan;
    }

    /** Counts it as in flight: the endpoint works on it from now on. */
    public void startWork(double costMicros) {
        isCountedInFlight = true;
        endpoint.inFlight().add(costMicros);
    }

    /** No longer counts it as in flight, if it was counted. */
    public void finishWork(double costMicros) {
        if (isCountedInFlight) {
            isCountedInFlight = false;
            endpoint.inFlight().remove(costMicros);
        }
    }

    /** Records whether it used up the in-flight limit. */
    public void setFilledLimit(boolean hasFilled) {
        hasFilledLimit = hasFilled;
    }

    /** Whether it used up the in-flight limit: only then does its response show that more fit. */
    public boolean hasFilledLimit() {
        return hasFilledLimit;
    }

    /** Records the endpoint's queue as known at the sending, itself included. */
    public void setQueueLengthAtSend(double meanRequests) {
        queueLengthAtSend = meanRequests;
    }

    /** The endpoint's queue as known at the sending, in mean requests. */
    public double queueLengthAtSend() {
        return queueLengthAtSend;
    }
}
