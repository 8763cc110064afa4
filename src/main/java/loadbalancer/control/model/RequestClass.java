package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A class of requests of a service. Times are in seconds.
 *
 * @param service the service whose requests it describes
 * @param name as clients name it
 * @param latencyObjectiveSeconds a response within this time has its full priority weight
 * @param timeoutSeconds after which clients no longer wait
 * @param priorityWeight of a response within the latency objective
 * @param lateWeightFraction of the priority weight that a late response has, 0 to 1
 * @param retrySafety whether a request may run more than once
 * @param deduplicationScope which upstreams discard a retry with the same idempotency key
 * @param deduplicationWindowSeconds for how long they do
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
    /** Whether a request of the class may run more than once. */
    public enum RetrySafety {
        /** It may run any number of times. */
        @JsonProperty("safe")
        IDEMPOTENT,
        /** A retry with the same idempotency key is discarded by the upstreams of the scope. */
        @JsonProperty("keyed")
        IDEMPOTENCY_KEY,
        /** It must not run twice. */
        @JsonProperty("unsafe")
        NOT_IDEMPOTENT
    }

    /** Which upstreams discard a retry with the same idempotency key. */
    public enum DeduplicationScope {
        /** All of them. */
        @JsonProperty("all")
        ALL,
        /** Those of the zone of the first attempt. */
        @JsonProperty("zone")
        ZONE,
        /** Those of the cell of the first attempt. */
        @JsonProperty("cell")
        CELL
    }

    /** Absent values are the conservative ones: not idempotent, and the narrowest scope. */
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
                lateWeightFraction <= 1, ResourceFieldNames.LATE_WEIGHT, "expected 1 at most");
        check.notNegative(ResourceFieldNames.DEDUPLICATION_WINDOW, deduplicationWindowSeconds);
    }
}
