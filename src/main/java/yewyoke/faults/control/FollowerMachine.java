package yewyoke.faults.control;

import java.util.List;
import java.util.Set;
import yewyoke.control.model.Acknowledgement;
import yewyoke.control.model.ResourceState;
import yewyoke.control.model.Scope;
import yewyoke.control.model.SubscribeRequest;
import yewyoke.control.model.VersionedResource;
import yewyoke.control.publish.Publisher;
import yewyoke.control.subscribe.AppliedUpdate;
import yewyoke.control.subscribe.ResourceView;
import yewyoke.control.subscribe.Subscriber;
import yewyoke.control.subscribe.SubscriberSettings;
import yewyoke.control.subscribe.UpdateConsumer;

/** A control machine that follows the writer and serves subscribers. */
final class FollowerMachine implements ControlServer {
    private final SimulationContext context;
    private final SimulationCounters counters;
    private final VirtualHost host;
    private final WriterMachine writer;
    private PublisherEndpoint endpoint;
    private Subscriber subscriber;

    FollowerMachine(SimulationContext context, SimulationCounters counters, String name, WriterMachine writer) {
        this.context = context;
        this.counters = counters;
        this.host = new VirtualHost(name, context.queue());
        this.writer = writer;
    }

    @Override public VirtualHost host() {
        return host;
    }

    /** What it has in force. */
    ResourceState state() {
        return subscriber.state();
    }

    PublisherEndpoint endpoint() {
        return endpoint;
    }

    /** Starts with nothing. */
    void start() {
        ResourceState held = new ResourceState();
        VirtualSubscriptionTransport transport =
                new VirtualSubscriptionTransport(context, host, host.name(), List.of(writer));
        Publisher publisher = new Publisher(held, context.settings().publisherLimits(), context.newRandom());
        endpoint = new PublisherEndpoint(context, host.name(), publisher, counters);
        SubscriberSettings settings = BalancerProcess.subscriberSettings(host.name(), "", Scope.ALL, 1);
        subscriber = new Subscriber(settings, held, new PublishInForce(publisher), transport,
                context.newRandom());
        transport.setSubscriber(subscriber);
        host.start(this::runDue);
        context.oracle().started(ModelTexts.of(host.name(), Set.of(), held));
        subscriber.start(context.now());
        host.run();
    }

    private long runDue() {
        long next = subscriber.run(context.now());
        if (subscriber.isApplying()) {
            return next;
        }
        return Math.min(next, endpoint.publisher().run(context.now()));
    }

    @Override public void subscribe(VirtualSubscription subscription, SubscribeRequest request) {
        endpoint.subscribe(subscription, request);
        host.run();
    }

    @Override public void ended(VirtualSubscription subscription) {
        endpoint.ended(subscription);
        host.run();
    }

    @Override public void acknowledge(Acknowledgement acknowledgement) {
        endpoint.acknowledge(acknowledgement);
        host.run();
    }

    /** Publishes what is in force here. */
    private final class PublishInForce implements UpdateConsumer {
        private final Publisher publisher;

        PublishInForce(Publisher publisher) {
            this.publisher = publisher;
        }

        @Override public void check(VersionedResource resource) { }

        @Override public void checkServices(ResourceView after, Set<String> services) { }

        @Override public void inForce(AppliedUpdate update, ResourceState state) {
            context.trace().add(host.name(), "in force " + state.revision());
            context.oracle().putInForce(ModelTexts.of(host.name(), Set.of(), state));
            if (update.snapshot()) {
                publisher.reset();
            } else {
                publisher.changed(update.to(), update.put(), update.deleted());
            }
        }
    }
}
