package loadbalancer.node.control.server;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.publish.Admission;
import loadbalancer.control.publish.Publisher;
import loadbalancer.control.publish.SubscriberSink;
import loadbalancer.control.publish.Subscription;
import loadbalancer.control.store.DamagedLogException;
import loadbalancer.http1.control.ControlServer;
import loadbalancer.http1.control.ControlServerLimits;
import loadbalancer.http1.control.ControlStatus;
import loadbalancer.http1.control.MachineReport;
import loadbalancer.http1.control.PublisherRunner;
import loadbalancer.http1.control.StatusHandler;
import loadbalancer.http1.control.SubscriptionHandler;
import loadbalancer.transport.Transport;

/**
 * A control machine on one loop: a role that holds the state, the publisher that distributes it,
 * and the server by which it is reached.
 */
final class ControlMachine implements SubscriptionHandler, StatusHandler {
    /**
     * A machine without a state asks subscribers to come back after between one and two of these.
     */
    private static final long NOT_READY_RETRY_MILLIS = 1_000;

    private final Transport transport;
    private final MachineSettings settings;
    private final MachineRole role;
    private final PublisherRunner publisher;
    private final ControlServer server;
    private final ReceivedReports reports;

    /** Reads what is kept; fails with one line if that can't be used. Serves nobody yet. */
    ControlMachine(Transport transport, MachineSettings settings)
            throws IOException, DamagedLogException {
        this.transport = transport;
        this.settings = settings;
        role =
                switch (settings.role()) {
                    case WRITER -> WriterRole.open(transport, settings);
                    case FOLLOWER -> new FollowerRole(transport, settings);
                };
        publisher =
                new PublisherRunner(
                        transport,
                        new Publisher(role.state(), settings.limits(), transport.random()));
        server =
                new ControlServer(
                        transport,
                        ControlServerLimits.forSubscribers(settings.limits().maxSubscribers()),
                        this,
                        role,
                        this);
        reports = new ReceivedReports(transport);
    }

    /** Serves, and gives the address. Not on the loop. */
    InetSocketAddress start() throws IOException {
        Future<Channel> bound = server.bind(settings.listen()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            role.close();
            throw new IOException(
                    "can't listen at " + settings.listen() + ": " + bound.cause().getMessage());
        }
        onLoop(
                () -> {
                    role.start(publisher);
                    return null;
                });
        return server.address();
    }

    /** Ends all connections and keeps what is to be kept. Not on the loop. */
    void stop() {
        onLoop(
                () -> {
                    server.close();
                    publisher.stop();
                    role.stop();
                    return null;
                });
        role.close();
    }

    private <T> Future<T> onLoop(Callable<T> step) {
        return transport.loop().submit(step).awaitUninterruptibly();
    }

    // ---- Subscribers
    // -----------------------------------------------------------------------------------

    @Override
    public Admission subscribe(SubscribeRequest request, SubscriberSink sink) {
        String whyNotReady = role.whyNotReady();
        if (!whyNotReady.isEmpty()) {
            long jitter = transport.random().nextLong(NOT_READY_RETRY_MILLIS);
            return new Admission.Deferred(whyNotReady, NOT_READY_RETRY_MILLIS + jitter);
        }
        return publisher.subscribe(request, sink);
    }

    @Override
    public void unsubscribe(Subscription subscription) {
        publisher.unsubscribe(subscription);
    }

    @Override
    public void becameWritable() {
        publisher.becameWritable();
    }

    @Override
    public void acknowledge(Acknowledgement acknowledgement) {
        publisher.acknowledge(acknowledgement);
    }

    // ---- Status
    // ----------------------------------------------------------------------------------------

    @Override
    public ControlStatus status() {
        return new ControlStatus(
                settings.name(),
                settings.roleName(),
                role.state().revision(),
                role.state().digest(Scope.ALL),
                role.state().size(),
                publisher.status(),
                reports.current());
    }

    @Override
    public void report(MachineReport report) {
        role.heardOf(report.distribution().latest());
        reports.add(report);
    }
}
