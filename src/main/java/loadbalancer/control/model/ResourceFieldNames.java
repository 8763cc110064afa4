package loadbalancer.control.model;

/**
 * The JSON names of resource fields. They are part of the protocol, of stored data and of the input
 * of the digests, so they must not change; some differ from the names in the code.
 */
final class ResourceFieldNames {
    static final String KIND = "kind";
    static final String SERVICE = "service";
    static final String NAME = "name";

    // Fields of Service.
    static final String ZONES = "zones";

    static final String UPSTREAM_KINDS = "upstreamKinds";

    // Fields of Upstream.
    static final String ADDRESS = "address";

    static final String WEIGHT = "weight";
    static final String CELL = "cell";
    static final String STARTED = "startedMs";

    // Fields of Route.
    static final String PATH_PREFIX = "pathPrefix";

    static final String REQUEST_CLASS = "requestClass";

    // Fields of Tenant.
    static final String ALLOWANCE = "allowancePerSecond";

    static final String QUOTA = "share";

    // Fields of RequestClass.
    static final String LATENCY_OBJECTIVE = "aimSeconds";

    static final String TIMEOUT = "giveUpSeconds";
    static final String PRIORITY_WEIGHT = "worth";
    static final String LATE_WEIGHT = "lateWorth";
    static final String RETRY_SAFETY = "repeat";
    static final String DEDUPLICATION_SCOPE = "repeatScope";
    static final String DEDUPLICATION_WINDOW = "memorySpanSeconds";

    // Fields of Limits.
    static final String MAX_ATTEMPTS = "maxAttempts";

    static final String MAX_IN_FLIGHT = "maxOpen";
    static final String RETRY_AFTER = "retryAfter";
    static final String MAX_RETRY_AFTER = "maxRetryAfterSeconds";
    static final String CONNECT_TIMEOUT = "connectTimeoutSeconds";
    static final String CONNECTION_IDLE = "connectIdleSeconds";

    private ResourceFieldNames() {}
}
