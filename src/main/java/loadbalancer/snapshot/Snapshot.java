package loadbalancer.snapshot;

import java.util.List;
import loadbalancer.LoadBalancerSnapshot;

/**
 * What a balancer knew at one moment.
 *
 * @param savedAtMillis Unix time by the clock of the machine that saved it
 * @param discoveryAddress the address that the endpoint list came from
 * @param listVersion version of the list, as discovery counts
 * @param discoverySilenceMillis time since discovery was last heard; {@link #NEVER_HEARD} if it
 *     never was
 * @param listedEndpoints the complete list
 * @param policySnapshot what the policy had measured
 */
public record Snapshot(
        long savedAtMillis,
        String discoveryAddress,
        long listVersion,
        long discoverySilenceMillis,
        List<ListedEndpoint> listedEndpoints,
        LoadBalancerSnapshot policySnapshot) {
    /** In place of the time since discovery was last heard. */
    static final long NEVER_HEARD = -1;

    /** A snapshot from the future by less than this is taken for one of now: clocks differ. */
    private static final long CLOCK_TOLERANCE_MILLIS = 2_000;

    /** The age of a snapshot whose age can't be known. */
    private static final long UNKNOWN_AGE_MILLIS = 3_600_000;

    /** Returns its age for a clock that shows {@code nowMillis}; an hour if it can't be known. */
    public long ageMillis(long nowMillis) {
        long age = nowMillis - savedAtMillis;
        if (age >= 0) {
            return age;
        }
        return isFromTheFuture(nowMillis) ? UNKNOWN_AGE_MILLIS : 0;
    }

    /** Whether it claims to come from the future: the clock was wrong then, or is now. */
    public boolean isFromTheFuture(long nowMillis) {
        return savedAtMillis - nowMillis > CLOCK_TOLERANCE_MILLIS;
    }

    /** Returns the time since discovery was last heard; an hour or more if it never was. */
    public long listAgeMillis(long nowMillis) {
        long age = ageMillis(nowMillis);
        return discoverySilenceMillis < 0
                ? Math.max(UNKNOWN_AGE_MILLIS, age)
                : discoverySilenceMillis + age;
    }

    /**
     * Whether its list is preferred to that of a configuration.
     *
     * @param knownVersion version of the configuration's list
     * @param isKnownListEmpty whether the configuration's list has no endpoints
     * @param currentDiscoveryAddress where lists come from now; versions of two addresses can't be
     *     compared
     */
    public boolean isFresherThan(
            long knownVersion, boolean isKnownListEmpty, String currentDiscoveryAddress) {
        if (listedEndpoints.isEmpty()) {
            return false;
        }
        return isKnownListEmpty
                || discoveryAddress.equals(currentDiscoveryAddress) && listVersion > knownVersion;
    }
}
