package loadbalancer.control.model;

/**
 * What a balancer may do for a service. Each service has at most one, named {@value #NAME}. Times
 * are in seconds.
 *
 * @param service the service it holds for
 * @param maxAttempts attempts for a request, 1 or more
 * @param maxOpen open requests of one balancer, 1 or more
 * @param retryAfter whether refused clients are told when to come back
 * @param maxRetryAfterSeconds the longest such advice
 * @param connectTimeoutSeconds time to make a connection to an upstream
 * @param connectIdleSeconds time after which an idle connection is closed
 */
public record Limits(
        String service,
        int maxAttempts,
        int maxOpen,
        boolean retryAfter,
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
        check.positive("maxAttempts", maxAttempts);
        check.positive("maxOpen", maxOpen);
        check.notNegative("maxRetryAfterSeconds", maxRetryAfterSeconds);
        check.positive("connectTimeoutSeconds", connectTimeoutSeconds);
        check.positive("connectIdleSeconds", connectIdleSeconds);
    }
}
