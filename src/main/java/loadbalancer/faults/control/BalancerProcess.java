package loadbalancer.faults.control;

import java.util.List;
import java.util.Set;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.Tenant;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.control.subscribe.AppliedUpdate;
import loadbalancer.control.subscribe.ResourceView;
import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.control.subscribe.SubscriberSettings;
import loadbalancer.control.subscribe.UpdateConsumer;

/**
 * A balancer without a request path: it follows the followers and sometimes keeps what it has in
 * force.
 */
final class BalancerProcess {
    private final SimulationContext context;
    private final SimulationCounters counters;
    private final VirtualHost host;
    private final String zone;
    private final Scope scope;
    private final boolean refuses;
    private final List<FollowerMachine> servers;
    private final KeptState kept;
    private VirtualSubscriptionTransport transport;
    private Subscriber subscriber;

    /**
     * Makes it without starting it.
     *
     * @param refuses whether it refuses what {@link ChangeGenerator#refusedBySubscribers} draws
     */
    BalancerProcess(
            SimulationContext context,
            SimulationCounters counters,
            String name,
            String zone,
            Scope scope,
            boolean refuses,
            List<FollowerMachine> servers) {
        this.context = context;
        this.counters = counters;
        this.host = new VirtualHost(name, context.queue());
        this.zone = zone;
        this.scope = scope;
        this.refuses = refuses;
        this.servers = servers;
        this.kept = new KeptState(context.newRandom());
    }

    private SubscriberSettings subscriberSettings() {
        return new SubscriberSettings(
                host.name(),
                zone,
                scope,
                servers.size(),
                SimulationSettings.SLICE_RESOURCES,
                SimulationSettings.SILENCE_MILLIS,
                SimulationSettings.FIRST_RETRY_MILLIS,
                SimulationSettings.LONGEST_RETRY_MILLIS);
    }

    VirtualHost host() {
        return host;
    }

    String zone() {
        return zone;
    }

    Scope scope() {
        return scope;
    }

    /** What it has in force. */
    ResourceState state() {
        return subscriber.state();
    }

    /** Starts with what it has kept, or with nothing. */
    void start(boolean withKept) {
        if (!withKept) {
            kept.clear();
        }
        ResourceState held = kept.load();
        transport = new VirtualSubscriptionTransport(context, host, host.name(), servers);
        subscriber =
                new Subscriber(
                        subscriberSettings(), held, new Consumer(), transport, context.newRandom());
        transport.setSubscriber(subscriber);
        host.start(transport::run);
        context.trace().add(host.name(), "starts at " + held.revision());
        context.oracle().started(ModelTexts.of(host.name(), scope.services(), held));
        subscriber.start(context.now());
        host.run();
    }

    /** It reads no faster than that. */
    void limitRate(long bytesPerSecond) {
        transport.limitRate(bytesPerSecond);
    }

    /** Checks what it refuses, and tells the oracle what is in force. */
    private final class Consumer implements UpdateConsumer {
        @Override
        public void check(VersionedResource resource) throws InvalidChangeException {
            if (refuses
                    && resource.resource() instanceof Tenant tenant
                    && tenant.quotaFraction() == ChangeGenerator.SHARE_REFUSED_BY_SUBSCRIBERS) {
                counters.rejections++;
                throw new InvalidChangeException(
                        tenant.id().toString(), "refused by this subscriber");
            }
        }

        @Override
        public void checkServices(ResourceView after, Set<String> services) {}

        @Override
        public void updateApplied(AppliedUpdate update, ResourceState state) {
            context.trace()
                    .add(
                            host.name(),
                            "in force "
                                    + state.revision()
                                    + (update.isSnapshot() ? " by a snapshot" : ""));
            counters.updatesInForce++;
            if (update.isSnapshot()) {
                counters.snapshotsInForce++;
            }
            context.oracle().putInForce(ModelTexts.of(host.name(), scope.services(), state));
            kept.changed(state);
        }
    }
}
