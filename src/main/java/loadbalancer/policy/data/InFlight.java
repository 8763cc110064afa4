package loadbalancer.policy.data;

/** The requests that one balancer has in flight at one endpoint, with their expected work. */
public final class InFlight {
    private int requests;
    private double workMicros;

    /** Adds one request with this cost. */
    public void add(double costMicros) {
        requests++;
        workMicros += costMicros;
    }

    /** Removes one request with this cost. */
    public void remove(double costMicros) {
        requests--;
        workMicros -= costMicros;
    }

    /** Returns the number of requests in flight. */
    public int requests() {
        return requests;
    }

    /** Returns their expected work in microseconds on an endpoint of capacity weight 1. */
    public double workMicros() {
        return workMicros;
    }

    /**
     * Returns the queue length in mean requests. It is the average of the number of requests and of
     * their work divided by the mean cost, because one expensive request delays many others.
     */
    public double queueLength(double meanCostMicros) {
        return (requests + Math.max(0, workMicros) / Math.max(meanCostMicros, 1)) / 2;
    }
}
