package loadbalancer.policy.data;

/** Requests that one balancer has in flight at one endpoint, with their expected work. */
public final class InFlight {
    private int requests;
    private double workMicros;

    /** Adds one request of this cost. */
    public void add(double costMicros) {
        requests++;
        workMicros += costMicros;
    }

    /** Removes one request of this cost. */
    public void remove(double costMicros) {
        requests--;
        workMicros -= costMicros;
    }

    /** Number of requests. */
    public int requests() {
        return requests;
    }

    /** Their work in microseconds of an endpoint of capacity weight 1. */
    public double workMicros() {
        return workMicros;
    }

    /**
     * Queue length in mean requests: the mean of the number of requests and of their work, since
     * one heavy request delays many others.
     */
    public double queueLength(double meanCostMicros) {
        return (requests + Math.max(0, workMicros) / Math.max(meanCostMicros, 1)) / 2;
    }
}
