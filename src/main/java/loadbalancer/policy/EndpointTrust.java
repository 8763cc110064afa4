package loadbalancer.policy;

import loadbalancer.policy.state.Endpoint;

/**
 * Limits the load of endpoints that are known only from before this balancer's start.
 *
 * <p>Returns a factor between 1 and the initial capacity of a process that has just started. Inputs
 * are whether discovery has delivered a list since the start, whether the endpoint has responded,
 * and a trust ratio by the age of the restored list.
 *
 * <p>Excludes no endpoint.
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

    /** Returns whether discovery has delivered a list since the start. */
    boolean isListConfirmed() {
        return isListConfirmed;
    }

    /** Sets the trust, from 1 to 0, that the endpoint still exists. */
    void setTrustRatio(Endpoint endpoint, double trustRatio) {
        endpoint.trust().setTrustRatio(trustRatio);
    }

    /** Returns the fraction of its usual load that the endpoint may get. */
    double allowedFraction(Endpoint endpoint) {
        if (isListConfirmed || endpoint.hasResponded()) {
            return 1;
        }
        double minFraction = settings.current().ruleLimits().initialCapacityRatio();
        return minFraction + (1 - minFraction) * endpoint.trust().trustRatio();
    }
}
