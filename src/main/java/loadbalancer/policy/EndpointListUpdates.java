package loadbalancer.policy;

import java.util.List;
import java.util.random.RandomGenerator;
import loadbalancer.LoadBalancer.Actions;
import loadbalancer.LoadBalancer.ListKind;
import loadbalancer.LoadBalancer.Upstream;
import loadbalancer.policy.data.Jitter;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointAges;
import loadbalancer.policy.state.EndpointList;

/**
 * The endpoint list as discovery delivers it.
 *
 * <p>Decides which processes are endpoints, and when to subscribe again after a failure.
 *
 * <p>Inputs: complete lists, changes, the list restored from before a restart, failed calls.
 *
 * <p>Never removes an endpoint for any other reason than the list: see {@link OutlierDetection}.
 */
final class EndpointListUpdates {
    /** Mean delay before a failed subscription is tried again. */
    private static final long MEAN_RESUBSCRIBE_MICROS = 1_000_000;

    private final DerivedSettings settings;
    private final EndpointList endpoints;
    private final EndpointFactory factory;
    private final EndpointTrust trust;
    private final Actions actions;
    private final RandomGenerator random;
    private long resubscribeAtMicros = Long.MAX_VALUE;

    EndpointListUpdates(
            DerivedSettings settings,
            EndpointList endpoints,
            EndpointFactory factory,
            EndpointTrust trust,
            Actions actions,
            RandomGenerator random) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.factory = factory;
        this.trust = trust;
        this.actions = actions;
        this.random = random;
    }

    /** Subscribes to the list, where the settings ask for it. */
    void subscribe() {
        if (settings.settings().askForList()) {
            actions.watch(true);
        }
    }

    /** Subscribes again when the delay after a failure has passed. */
    void resubscribeIfDue(long nowMicros) {
        if (nowMicros < resubscribeAtMicros) {
            return;
        }
        if (settings.settings().askForList()) {
            resubscribeAtMicros = Long.MAX_VALUE;
        }
        subscribe();
    }

    /** Takes a list or changes of it; returns false if the call to discovery has failed. */
    boolean apply(ListKind kind, List<Upstream> entries, long nowMicros) {
        if (kind == ListKind.UNAVAILABLE) {
            resubscribeAtMicros = nowMicros + Jitter.around(MEAN_RESUBSCRIBE_MICROS, random);
            return false;
        }
        boolean isFirstList = !trust.isListConfirmed();
        if (kind != ListKind.CHANGES) {
            endpoints.retainOnly(entries);
        }
        if (kind != ListKind.RESTORED) {
            trust.confirmList();
        }
        for (Upstream entry : entries) {
            endpoints.put(endpointFor(entry, isFirstList, nowMicros), entry);
        }
        endpoints.update();
        return true;
    }

    private Endpoint endpointFor(Upstream entry, boolean isFirstList, long nowMicros) {
        Endpoint known = endpoints.get(entry.id());
        if (known != null && !EndpointAges.isOtherProcess(known.entry(), entry)) {
            return known;
        }
        return factory.create(entry, known, isFirstList, nowMicros);
    }
}
