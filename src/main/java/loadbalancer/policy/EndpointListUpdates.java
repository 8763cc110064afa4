package loadbalancer.policy;

import java.util.List;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.policy.data.Jitter;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointAges;
import loadbalancer.policy.state.PolicyState;

/** What the list of upstreams says, and how far it is believed. */
final class EndpointListUpdates {
    private static final long ASK_AGAIN =
            1_000_000; // mean pause before a failed subscription is tried again

    static void subscribe(PolicyState b) {
        if (b.settings().isEndpointListPolled()) {
            b.out.watchEndpointList(true);
        }
    }

    static void subscribeAgain(PolicyState b, long now) {
        if (now >= b.listing.askAgainAt) {
            b.listing.askAgainAt =
                    b.settings().isEndpointListPolled() ? Long.MAX_VALUE : b.listing.askAgainAt;
            subscribe(b);
        }
    }

    /** Whether there is a list now. */
    static boolean take(
            PolicyState b,
            long now,
            EndpointListUpdateType kind,
            List<EndpointDescriptor> entries) {
        if (kind == EndpointListUpdateType.UNAVAILABLE) {
            b.listing.askAgainAt = now + Jitter.around(ASK_AGAIN, b.random);
            return false;
        }
        boolean first = !b.listing.confirmed;
        if (kind != EndpointListUpdateType.DELTA) {
            b.ups.keepOnly(entries);
        }
        b.listing.confirmed |= kind != EndpointListUpdateType.RESTORED;
        entries.forEach(e -> b.ups.put(process(b, now, e, first), e));
        b.ups.settle();
        return true;
    }

    /**
     * A new process starts afresh: what the old one held and what was known of it say nothing now.
     */
    private static Endpoint process(PolicyState b, long now, EndpointDescriptor e, boolean first) {
        Endpoint known = b.ups.get(e.id());
        if (known != null && !EndpointAges.isAnother(known.entry(), e)) {
            return known;
        }
        Endpoint up = new Endpoint(e.id(), b.settings().balancerIndex());
        up.list.startedAt =
                b.listing.ages.startedAt(
                        e, now, first, b.settings().ruleLimits().slowStartMicros());
        if (known != null) {
            UtilizationWeights.inherit(up, known);
        }
        OutlierDetection.begin(up);
        b.times.begin(up);
        ConcurrencyLimits.begin(b, up);
        SlowStart.begin(b, up, now);
        return up;
    }

    static void trust(Endpoint up, double trust) {
        up.list.trust = trust;
    }

    /**
     * What one may get that nobody has named since the start: if long ago, as little as a cold one.
     */
    static double allowance(PolicyState b, Endpoint up) {
        double least = b.settings().ruleLimits().initialCapacityRatio();
        return b.listing.confirmed || up.answered() ? 1 : least + (1 - least) * up.list.trust;
    }
}
