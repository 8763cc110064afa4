package loadbalancer.snapshot;

import java.util.List;
import loadbalancer.EndpointState;
import loadbalancer.LoadBalancerSnapshot;

/**
 * What a balancer knew at one moment.
 *
 * @param savedMs Unix time by the clock of then
 * @param discovery the address that the list came from
 * @param version the list's, as discovery counts
 * @param quietMs for how long discovery had said nothing, -1 if it never had
 * @param entries the whole list
 */
public record Snapshot(
        long savedMs,
        String discovery,
        long version,
        long quietMs,
        List<Entry> entries,
        LoadBalancerSnapshot memory) {
    /** Clocks may differ by so much before a snapshot counts as one from the future. */
    static final long STEP_MS = 2_000;

    /** The age of one whose age can't be told. */
    static final long UNSURE_MS = 3_600_000;

    /** One upstream as listed; {@code addr} is {@code host:port}, {@code startedMs} Unix time. */
    public record Entry(
            String id,
            String addr,
            String zone,
            String kind,
            int cell,
            EndpointState state,
            double weight,
            long startedMs) {}

    /**
     * How old it is for a clock that shows {@code nowMs}; an hour if it claims to come from the
     * future.
     */
    public long ageMs(long nowMs) {
        long age = nowMs - savedMs;
        return age >= 0 ? age : age >= -STEP_MS ? 0 : UNSURE_MS;
    }

    /** Whether it claims to come from the future: the clock was wrong then, or is now. */
    public boolean isFromTheFuture(long nowMs) {
        return savedMs - nowMs > STEP_MS;
    }

    /** For how long discovery has not been heard; an hour if it never had been. */
    public long listAgeMs(long nowMs) {
        return quietMs < 0 ? Math.max(UNSURE_MS, ageMs(nowMs)) : quietMs + ageMs(nowMs);
    }

    /** Whether its list is to be preferred to one that a configuration came with. */
    public boolean isFresherThan(long knownVersion, boolean knownEmpty, String askedDiscovery) {
        return !entries.isEmpty()
                && (knownEmpty || discovery.equals(askedDiscovery) && version > knownVersion);
    }
}
