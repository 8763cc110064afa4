package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A class of requests of a service. Times are in seconds.
 *
 * @param service the service whose requests it describes
 * @param name as clients name it
 * @param aimSeconds an answer within this time has its full worth
 * @param giveUpSeconds clients wait no longer than this
 * @param worth of an answer within the aim
 * @param lateWorth share of the worth that a late answer has, 0 to 1
 * @param repeat whether a request may run more than once
 * @param repeatScope which upstreams discard the repeat of a keyed request
 * @param memorySpanSeconds for how long they do
 */
public record RequestClass(
        String service,
        String name,
        double aimSeconds,
        double giveUpSeconds,
        double worth,
        double lateWorth,
        Repeat repeat,
        RepeatScope repeatScope,
        double memorySpanSeconds)
        implements Resource {
    /** Whether a request of the class may run more than once. */
    public enum Repeat {
        /** It may run any number of times. */
        @JsonProperty("safe")
        SAFE,
        /** A repeat with the same key is discarded by the upstreams of the scope. */
        @JsonProperty("keyed")
        KEYED,
        /** It must not run twice. */
        @JsonProperty("unsafe")
        UNSAFE
    }

    /** Which upstreams discard the repeat of a keyed request. */
    public enum RepeatScope {
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

    /** What is not said is the careful choice: unsafe, and the narrowest scope. */
    public RequestClass {
        repeat = repeat == null ? Repeat.UNSAFE : repeat;
        repeatScope = repeatScope == null ? RepeatScope.CELL : repeatScope;
    }

    @Override
    public ResourceId id() {
        return new ResourceId(ResourceKind.REQUEST_CLASS, service, name);
    }

    @Override
    public void validate() throws InvalidChangeException {
        FieldCheck check = FieldCheck.of(id());
        check.positive("aimSeconds", aimSeconds);
        check.positive("giveUpSeconds", giveUpSeconds);
        check.notNegative("worth", worth);
        check.notNegative("lateWorth", lateWorth);
        check.require(lateWorth <= 1, "lateWorth", "expected 1 at most");
        check.notNegative("memorySpanSeconds", memorySpanSeconds);
    }
}
