package loadbalancer.snapshot;

import java.util.List;
import loadbalancer.LoadBalancerSnapshot;

/**
 * State of a balancer at one moment: its endpoint list and the measurements of its policy.
 *
 * @param savedAtMillis Unix time in milliseconds by the clock of the machine that saved it
 * @param discoveryAddress address of the discovery service that sent the endpoint list
 * @param listVersion version of the list, assigned by discovery
 * @param discoverySilenceMillis time since the last message from discovery; {@link
 *     #NEVER_CONTACTED} if there was none
 * @param listedEndpoints the complete endpoint list
 * @param policySnapshot measurements of the policy
 */
public record Snapshot(
        long savedAtMillis,
        String discoveryAddress,
        long listVersion,
        long discoverySilenceMillis,
        List<ListedEndpoint> listedEndpoints,
        LoadBalancerSnapshot policySnapshot) {
    /** Value of {@code discoverySilenceMillis} if discovery has never sent a message. */
    static final long NEVER_CONTACTED = -1;

    /** A timestamp in the future by up to this much counts as now, since clocks differ. */
    private static final long CLOCK_TOLERANCE_MILLIS = 2_000;

    /** Assumed age of a snapshot whose real age is unknown: one hour. */
    private static final long UNKNOWN_AGE_MILLIS = 3_600_000;

    /** Returns the age at Unix time {@code nowMillis}; one hour if the age is unknown. */
    public long ageMillis(long nowMillis) {
        long age = nowMillis - savedAtMillis;
        if (age >= 0) {
            return age;
        }
        return isFromFuture(nowMillis) ? UNKNOWN_AGE_MILLIS : 0;
    }

    /**
     * Returns whether the timestamp is in the future by more than the clock tolerance. In that case
     * the clock was wrong when the snapshot was saved, or it is wrong now.
     */
    public boolean isFromFuture(long nowMillis) {
        return savedAtMillis - nowMillis > CLOCK_TOLERANCE_MILLIS;
    }

    /** Returns the time since the last message from discovery; at least one hour without any. */
    public long listAgeMillis(long nowMillis) {
        long age = ageMillis(nowMillis);
        return discoverySilenceMillis < 0
                ? Math.max(UNKNOWN_AGE_MILLIS, age)
                : discoverySilenceMillis + age;
    }

    /**
     * Returns whether this snapshot's endpoint list takes precedence over that of a configuration.
     *
     * @param knownVersion version of the configuration's list
     * @param isKnownListEmpty whether the configuration's list has no endpoints
     * @param currentDiscoveryAddress configured address of discovery; versions from two addresses
     *     can't be compared
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
