package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Limits of a balancer for a service. Each service has at most one such resource, named {@value
 * #NAME}. Times are in seconds.
 *
 * @param service the service it holds for
 * @param maxAttempts attempts for a request, 1 or more
 * @param maxInFlight requests in flight at one balancer, 1 or more
 * @param sendsRetryAfter whether rejected requests get a Retry-After
 * @param maxRetryAfterSeconds the longest Retry-After
 * @param connectTimeoutSeconds of a connection to an upstream
 * @param connectIdleSeconds time after which an idle connection is closed
 */
public record Limits(
        String service,
        int maxAttempts,
        @JsonProperty(ResourceFieldNames.MAX_IN_FLIGHT) int maxInFlight,
        @JsonProperty(ResourceFieldNames.RETRY_AFTER) boolean sendsRetryAfter,
        double maxRetryAfterSeconds,
        double connectTimeoutSeconds,
        double connectIdleSeconds)
        implements Resource {
    /** The name of every such resource. */
    public static final String NAME = "limits";

    @Override
    public ResourceId id() {
        return new ResourceId(ResourceKind.LIMITS, service, NAME);
    }

    @Override
    public void validate() throws InvalidChangeException {
        FieldCheck check = FieldCheck.of(id());
        check.positive(ResourceFieldNames.MAX_ATTEMPTS, maxAttempts);
        check.positive(ResourceFieldNames.MAX_IN_FLIGHT, maxInFlight);
        check.notNegative(ResourceFieldNames.MAX_RETRY_AFTER, maxRetryAfterSeconds);
        check.positive(ResourceFieldNames.CONNECT_TIMEOUT, connectTimeoutSeconds);
        check.positive(ResourceFieldNames.CONNECTION_IDLE, connectIdleSeconds);
    }
}
