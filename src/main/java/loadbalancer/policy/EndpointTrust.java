package loadbalancer.policy;

import loadbalancer.policy.state.Endpoint;

/**
 * How much an endpoint may get that is known only from before this balancer's start.
 *
 * <p>Decides a factor, from 1 down to the capacity of a process that has just started.
 *
 * <p>Inputs: whether discovery has delivered a list since the start, whether the endpoint has
 * responded, and the belief (1 to 0) that was left by the age of the restored list.
 *
 * <p>Never excludes an endpoint.
 */
final class EndpointTrust {
    private final DerivedSettings settings;
    private boolean isListConfirmed;

    EndpointTrust(DerivedSettings settings) {
        this.settings = settings;
    }

    /** Records that discovery has delivered a list since the start. */
    void confirmList() {
        isListConfirmed = true;
    }

    /** Whether discovery has delivered a list since the start. */
    boolean isListConfirmed() {
        return isListConfirmed;
    }

    /** Sets the belief, from 1 to 0, that the endpoint is still there. */
    void setTrustRatio(Endpoint endpoint, double trustRatio) {
        endpoint.trust().setTrustRatio(trustRatio);
    }

    /** The fraction of its usual load that the endpoint may get. */
    double allowedFraction(Endpoint endpoint) {
        if (isListConfirmed || endpoint.hasResponded()) {
            return 1;
        }
        double minFraction = settings.current().ruleLimits().initialCapacityRatio();
        return minFraction + (1 - minFraction) * endpoint.trust().trustRatio();
    }
}
