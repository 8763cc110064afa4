package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A request class of a service. Times are in seconds.
 *
 * @param service the service that the class belongs to
 * @param name the name by which clients refer to the class
 * @param latencyObjectiveSeconds the time within which a response has its full priority weight
 * @param timeoutSeconds the client timeout
 * @param priorityWeight the weight of a response within the latency objective
 * @param lateWeightFraction the fraction of the priority weight that a late response has, 0 to 1
 * @param retrySafety whether a request may be executed more than once
 * @param deduplicationScope which upstreams discard a retry with the same idempotency key
 * @param deduplicationWindowSeconds how long upstreams remember an idempotency key
 */
public record RequestClass(
        String service,
        String name,
        @JsonProperty(ResourceFieldNames.LATENCY_OBJECTIVE) double latencyObjectiveSeconds,
        @JsonProperty(ResourceFieldNames.TIMEOUT) double timeoutSeconds,
        @JsonProperty(ResourceFieldNames.PRIORITY_WEIGHT) double priorityWeight,
        @JsonProperty(ResourceFieldNames.LATE_WEIGHT) double lateWeightFraction,
        @JsonProperty(ResourceFieldNames.RETRY_SAFETY) RetrySafety retrySafety,
        @JsonProperty(ResourceFieldNames.DEDUPLICATION_SCOPE) DeduplicationScope deduplicationScope,
        @JsonProperty(ResourceFieldNames.DEDUPLICATION_WINDOW) double deduplicationWindowSeconds)
        implements Resource {
    /** Whether a request of the class may be executed more than once. */
    public enum RetrySafety {
        /** A request may be executed any number of times. */
        @JsonProperty("safe")
        IDEMPOTENT,
        /** A retry with the same idempotency key is discarded by the upstreams of the scope. */
        @JsonProperty("keyed")
        IDEMPOTENCY_KEY,
        /** A request must not be executed more than once. */
        @JsonProperty("unsafe")
        NOT_IDEMPOTENT
    }

    /** Which upstreams discard a retry with the same idempotency key. */
    public enum DeduplicationScope {
        /** All upstreams of the service. */
        @JsonProperty("all")
        ALL,
        /** The upstreams in the zone of the first attempt. */
        @JsonProperty("zone")
        ZONE,
        /** The upstreams in the cell of the first attempt. */
        @JsonProperty("cell")
        CELL
    }

    /** Replaces absent values by the conservative ones: not idempotent, the narrowest scope. */
    public RequestClass {
        retrySafety = retrySafety == null ? RetrySafety.NOT_IDEMPOTENT : retrySafety;
        deduplicationScope =
                deduplicationScope == null ? DeduplicationScope.CELL : deduplicationScope;
    }

    @Override
    public ResourceId id() {
        return new ResourceId(ResourceKind.REQUEST_CLASS, service, name);
    }

    @Override
    public void validate() throws InvalidChangeException {
        FieldCheck check = FieldCheck.of(id());
        check.positive(ResourceFieldNames.LATENCY_OBJECTIVE, latencyObjectiveSeconds);
        check.positive(ResourceFieldNames.TIMEOUT, timeoutSeconds);
        check.notNegative(ResourceFieldNames.PRIORITY_WEIGHT, priorityWeight);
        check.notNegative(ResourceFieldNames.LATE_WEIGHT, lateWeightFraction);
        check.require(
                lateWeightFraction <= 1, ResourceFieldNames.LATE_WEIGHT, "expected at most 1");
        check.notNegative(ResourceFieldNames.DEDUPLICATION_WINDOW, deduplicationWindowSeconds);
    }
}
