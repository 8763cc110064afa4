package loadbalancer.faults.control;

import java.util.List;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.control.subscribe.SubscriptionTransport;
import loadbalancer.faults.control.oracle.Violation.Rule;

/** The connections of one life of a subscriber, over the virtual network. */
final class VirtualSubscriptionTransport implements SubscriptionTransport {
    private static final int FAST_BYTES_PER_SECOND = 100_000_000;

    private final SimulationContext context;
    private final VirtualHost host;
    private final String holder;
    private final List<? extends ControlServer> servers;
    private Subscriber subscriber;
    private VirtualSubscription current;
    private String lastFailure = "";
    private long bytesPerSecond = FAST_BYTES_PER_SECOND;

    VirtualSubscriptionTransport(
            SimulationContext context,
            VirtualHost host,
            String holder,
            List<? extends ControlServer> servers) {
        this.context = context;
        this.host = host;
        this.holder = holder;
        this.servers = servers;
    }

    /** Whom the events are for. */
    void setSubscriber(Subscriber receiver) {
        subscriber = receiver;
    }

    /**
     * Lets the subscriber do what is due; nothing in the simulation damages an update on its way.
     */
    long run() {
        long delay = subscriber.run(context.now());
        String refusal = subscriber.status().lastFailure();
        if (!refusal.equals(lastFailure) && refusal.contains("digest")) {
            context.oracle().report(Rule.DIGEST_DIFFERS, holder + ": " + refusal);
        }
        lastFailure = refusal;
        return delay;
    }

    /** The subscriber reads no faster than that from now on. */
    void limitRate(long limit) {
        bytesPerSecond = limit;
        if (current != null) {
            current.limitRate(limit);
        }
    }

    @Override
    public void open(int server, SubscribeRequest request) {
        close();
        String address = servers.get(server).host().name();
        context.trace().add(holder, "opens at " + address + " since " + request.revision());
        current =
                new VirtualSubscription(
                        context, host, servers.get(server), new Events(), bytesPerSecond);
        current.open(request);
    }

    @Override
    public void close() {
        if (current != null) {
            current.closeByClient();
            current = null;
        }
    }

    @Override
    public void pauseReading(boolean pause) {
        if (current != null) {
            current.pauseReading(pause);
        }
    }

    @Override
    public void acknowledge(int server, Acknowledgement acknowledgement) {
        context.trace()
                .add(holder, "says " + acknowledgement.status() + " " + acknowledgement.inForce());
        context.oracle().acknowledged(holder, ModelTexts.of(acknowledgement.inForce()));
        byte[] body = ResourceCodec.encode(acknowledgement);
        ControlServer receiver = servers.get(server);
        StreamConnection connection =
                new StreamConnection(
                        context.network(), host, receiver.host(), reason -> {}, reason -> {});
        connection.toServer().send(body.length, () -> receive(receiver, body));
        connection.closeByClient();
    }

    private static void receive(ControlServer receiver, byte[] body) {
        if (receiver.host().isAlive()) {
            try {
                receiver.acknowledge(ResourceCodec.readAcknowledgement(body));
            } catch (InvalidChangeException e) {
                throw new IllegalStateException("an acknowledgement that can't be read back", e);
            }
        }
    }

    /** Tells the subscriber what comes, and lets it do what follows from it. */
    private final class Events implements VirtualSubscription.ClientEvents {
        @Override
        public void line(byte[] line) {
            subscriber.lineReceived(context.now(), line);
            host.run();
        }

        @Override
        public void heartbeat() {
            subscriber.heartbeatReceived(context.now());
            host.run();
        }

        @Override
        public void ended(long retryAfterMillis, String reason) {
            context.trace()
                    .add(holder, "hears the end: " + reason + ", retry after " + retryAfterMillis);
            current = null;
            subscriber.subscriptionEnded(context.now(), retryAfterMillis, reason);
            host.run();
        }
    }
}
