package loadbalancer.policy.state;

/** State of endpoint trust for one endpoint. */
public final class EndpointTrustState {
    private double trustRatio = 1;

    /** Returns the trust, from 1 to 0, that the process still exists. */
    public double trustRatio() {
        return trustRatio;
    }

    /** Replaces the trust, from 1 to 0, that the process still exists. */
    public void setTrustRatio(double ratio) {
        trustRatio = ratio;
    }
}
