package loadbalancer.faults.control;

import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.StateDifference;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.control.publish.Publisher;
import loadbalancer.control.subscribe.AppliedUpdate;
import loadbalancer.control.subscribe.ResourceView;
import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.control.subscribe.SubscriberSettings;
import loadbalancer.control.subscribe.UpdateConsumer;

/** A control machine that follows the writer and serves subscribers. */
final class FollowerMachine implements ControlServer {
    private static final long NOT_READY_RETRY_MILLIS = 1_000;

    private final SimulationContext context;
    private final SimulationCounters counters;
    private final VirtualHost host;
    private final WriterMachine writer;
    private final KeptState kept;
    private final RandomGenerator random;
    private ResourceState published;
    private PublisherEndpoint endpoint;
    private Subscriber subscriber;

    FollowerMachine(
            SimulationContext context,
            SimulationCounters counters,
            String name,
            WriterMachine writer) {
        this.context = context;
        this.counters = counters;
        this.host = new VirtualHost(name, context.queue());
        this.writer = writer;
        this.kept = new KeptState(context.newRandom());
        this.random = context.newRandom();
    }

    @Override
    public VirtualHost host() {
        return host;
    }

    /** What it has in force. */
    ResourceState state() {
        return subscriber.state();
    }

    PublisherEndpoint endpoint() {
        return endpoint;
    }

    /** Starts with what it has kept, or with nothing. */
    void start(boolean withKept) {
        if (!withKept) {
            kept.clear();
        }
        ResourceState held = kept.load();
        published = kept.load();
        Publisher publisher =
                new Publisher(published, context.settings().publisherLimits(), context.newRandom());
        endpoint = new PublisherEndpoint(context, host.name(), publisher, counters);
        VirtualSubscriptionTransport transport =
                new VirtualSubscriptionTransport(context, host, host.name(), List.of(writer));
        subscriber =
                new Subscriber(
                        subscriberSettings(),
                        held,
                        new PublishInForce(),
                        transport,
                        context.newRandom());
        transport.setSubscriber(subscriber);
        host.start(() -> Math.min(transport.run(), endpoint.publisher().run(context.now())));
        context.trace().add(host.name(), "starts at " + held.revision());
        context.oracle().started(ModelTexts.of(host.name(), Set.of(), held));
        subscriber.start(context.now());
        host.run();
    }

    /** All that is in an update is applied in one turn, as control machines do. */
    private SubscriberSettings subscriberSettings() {
        return new SubscriberSettings(
                host.name(),
                "",
                Scope.ALL,
                1,
                Integer.MAX_VALUE,
                SimulationSettings.SILENCE_MILLIS,
                SimulationSettings.FIRST_RETRY_MILLIS,
                SimulationSettings.LONGEST_RETRY_MILLIS);
    }

    @Override
    public void subscribe(VirtualSubscription subscription, SubscribeRequest request) {
        if (published.revision().equals(Revision.NONE)) {
            counters.deferred++;
            long jitter = random.nextLong(NOT_READY_RETRY_MILLIS);
            subscription.defer(NOT_READY_RETRY_MILLIS + jitter, "holds nothing yet");
            return;
        }
        endpoint.subscribe(subscription, request);
        host.run();
    }

    @Override
    public void ended(VirtualSubscription subscription) {
        endpoint.ended(subscription);
        host.run();
    }

    @Override
    public void acknowledge(Acknowledgement acknowledgement) {
        endpoint.acknowledge(acknowledgement);
        host.run();
    }

    /** Publishes a copy of what is in force here. */
    private final class PublishInForce implements UpdateConsumer {
        @Override
        public void check(VersionedResource resource) {}

        @Override
        public void checkServices(ResourceView after, Set<String> services) {}

        @Override
        public void updateApplied(AppliedUpdate update, ResourceState state) {
            context.trace().add(host.name(), "in force " + state.revision());
            context.oracle().putInForce(ModelTexts.of(host.name(), Set.of(), state));
            kept.changed(state);
            if (update.isSnapshot()) {
                StateDifference difference = StateDifference.between(published, state);
                difference.applyTo(published);
                published.advance(state.revision());
                endpoint.publisher().stateReplaced(difference);
            } else {
                update.deleted().forEach(published::delete);
                update.put().forEach(published::put);
                published.advance(update.to());
                endpoint.publisher().stateChanged(update.to(), update.put(), update.deleted());
            }
        }
    }
}
