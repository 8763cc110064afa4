package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The limits that a balancer applies to a service. Each service has at most one such resource,
 * named {@value #NAME}. Times are in seconds.
 *
 * @param service the service that the limits apply to
 * @param maxAttempts the maximum number of attempts for a request, 1 or more
 * @param maxInFlight the maximum number of requests in flight at one balancer, 1 or more
 * @param sendsRetryAfter whether responses to rejected requests have a Retry-After header
 * @param maxRetryAfterSeconds the maximum value of Retry-After
 * @param connectTimeoutSeconds the connect timeout of connections to upstreams
 * @param connectIdleSeconds the time after which an idle upstream connection is closed
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
    /** The name of every resource of this kind. */
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
