package loadbalancer.policy;

import java.util.List;
import java.util.random.RandomGenerator;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.LoadBalancerActions;
import loadbalancer.policy.data.Jitter;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointAges;
import loadbalancer.policy.state.EndpointList;

/**
 * Applies the updates of the endpoint list that discovery delivers.
 *
 * <p>Decides which processes are endpoints, and when to subscribe again after a failure. Inputs are
 * complete lists, changes, the list restored after a restart and failed calls.
 *
 * <p>Endpoints are removed only because of the list, not because of failures: see {@link
 * OutlierDetection}.
 */
final class EndpointListUpdates {
    /** Mean delay before a failed subscription is retried. */
    private static final long MEAN_RESUBSCRIBE_MICROS = 1_000_000;

    private final DerivedSettings settings;
    private final EndpointList endpoints;
    private final EndpointFactory factory;
    private final EndpointTrust trust;
    private final LoadBalancerActions actions;
    private final RandomGenerator random;
    private long resubscribeAtMicros = Long.MAX_VALUE;

    EndpointListUpdates(
            DerivedSettings settings,
            EndpointList endpoints,
            EndpointFactory factory,
            EndpointTrust trust,
            LoadBalancerActions actions,
            RandomGenerator random) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.factory = factory;
        this.trust = trust;
        this.actions = actions;
        this.random = random;
    }

    /** Subscribes to the list if the settings require it. */
    void subscribe() {
        if (settings.current().isEndpointListOnRequest()) {
            actions.watchEndpointList(true);
        }
    }

    /** Subscribes again when the delay after a failure has passed. */
    void resubscribeIfDue(long nowMicros) {
        if (nowMicros < resubscribeAtMicros) {
            return;
        }
        if (settings.current().isEndpointListOnRequest()) {
            resubscribeAtMicros = Long.MAX_VALUE;
        }
        subscribe();
    }

    /** Applies a list or a change of it; returns false if the call to discovery has failed. */
    boolean apply(EndpointListUpdateType type, List<EndpointDescriptor> entries, long nowMicros) {
        if (type == EndpointListUpdateType.UNAVAILABLE) {
            resubscribeAtMicros = nowMicros + Jitter.around(MEAN_RESUBSCRIBE_MICROS, random);
            return false;
        }
        boolean isFirstList = !trust.isListConfirmed();
        if (type != EndpointListUpdateType.DELTA) {
            endpoints.retainOnly(entries);
        }
        if (type != EndpointListUpdateType.RESTORED) {
            trust.confirmList();
        }
        for (EndpointDescriptor entry : entries) {
            endpoints.put(endpointFor(entry, isFirstList, nowMicros), entry);
        }
        endpoints.update();
        return true;
    }

    private Endpoint endpointFor(EndpointDescriptor entry, boolean isFirstList, long nowMicros) {
        Endpoint known = endpoints.get(entry.id());
        if (known != null && !EndpointAges.isDifferentProcess(known.entry(), entry)) {
            return known;
        }
        return factory.create(entry, known, isFirstList, nowMicros);
    }
}
