package loadbalancer.policy.data;

/** What is in flight at an upstream by one balancer: requests, and their work. */
public final class InFlight {
    private int requests;
    private double work;

    /** One more. */
    public void add(double cost) {
        requests++;
        work += cost;
    }

    /** One less. */
    public void remove(double cost) {
        requests--;
        work -= cost;
    }

    /** So many. */
    public int requests() {
        return requests;
    }

    /** Their work in microseconds of a server of rating 1. */
    public double work() {
        return work;
    }

    /** Half by count and half by work in mean requests: one heavy request holds up many. */
    public double units(double meanCost) {
        return (requests + Math.max(0, work) / Math.max(meanCost, 1)) / 2;
    }
}
