package loadbalancer.policy.state;

/** What endpoint trust keeps of one endpoint. */
public final class EndpointTrustState {
    private double trustRatio = 1;

    /** Belief, from 1 to 0, that the process is still there. */
    public double trustRatio() {
        return trustRatio;
    }

    /** Replaces the belief, from 1 to 0. */
    public void setTrustRatio(double ratio) {
        trustRatio = ratio;
    }
}
