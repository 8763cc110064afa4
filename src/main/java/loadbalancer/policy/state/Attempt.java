package loadbalancer.policy.state;

/** One sending of a request to an upstream. */
public final class Attempt {
    /** Where to. */
    public final Endpoint up;

    /** When. */
    public final long sentAt;

    /** Whether it filled up the in-flight limit: only then does its answer say that more fit. */
    public boolean limited;

    /** Whether its end is still to come. */
    public boolean outstanding = true;

    /** Whether it may have run. */
    public boolean mayHaveRun = true;

    private boolean counted;

    /** The line there when it was sent, in mean requests. */
    public double line;

    /** One that was just sent. */
    public Attempt(Endpoint up, long sentAt) {
        this.up = up;
        this.sentAt = sentAt;
    }

    /** From now on the upstream works on it. */
    public void count(double cost) {
        counted = true;
        up.inFlight.add(cost);
    }

    /** It works on it no longer, if it did. */
    public void uncount(double cost) {
        if (counted) {
            counted = false;
            up.inFlight.remove(cost);
        }
    }
}
