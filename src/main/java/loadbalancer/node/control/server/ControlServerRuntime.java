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
import loadbalancer.http1.control.ControlServerReport;
import loadbalancer.http1.control.ControlStatus;
import loadbalancer.http1.control.PublisherRunner;
import loadbalancer.http1.control.StatusHandler;
import loadbalancer.http1.control.SubscriptionHandler;
import loadbalancer.transport.Transport;

/**
 * A control server on one event loop: a role that owns the state, a publisher that distributes it,
 * and an HTTP server that accepts calls. Used on the event loop, except where a method says
 * otherwise.
 */
final class ControlServerRuntime implements SubscriptionHandler, StatusHandler {
    /**
     * Retry-After of a control server without a state; a random jitter of up to the same length is
     * added.
     */
    private static final long NOT_READY_RETRY_MILLIS = 1_000;

    private final Transport transport;
    private final ControlServerSettings settings;
    private final ControlServerRole role;
    private final PublisherRunner publisher;
    private final ControlServer server;
    private final ReceivedReports reports;

    /**
     * Reads the stored state, which blocks on the disk. Does not listen yet.
     *
     * @throws IOException if the state can't be read
     * @throws DamagedLogException if the log is damaged
     */
    ControlServerRuntime(Transport transport, ControlServerSettings settings)
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

    /**
     * Starts to listen and returns the bound address. Must not be called on the event loop.
     *
     * @throws IOException if the address can't be bound
     */
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

    /** Closes all connections and writes unsaved state. Must not be called on the event loop. */
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

    private <T> Future<T> onLoop(Callable<T> task) {
        return transport.loop().submit(task).awaitUninterruptibly();
    }

    // ---- Subscribers ----

    @Override
    public Admission subscribe(SubscribeRequest request, SubscriberSink sink) {
        String notReadyReason = role.notReadyReason();
        if (!notReadyReason.isEmpty()) {
            long jitter = transport.random().nextLong(NOT_READY_RETRY_MILLIS);
            return new Admission.Deferred(notReadyReason, NOT_READY_RETRY_MILLIS + jitter);
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

    // ---- Status ----

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
    public void report(ControlServerReport report) {
        role.observeRevision(report.distribution().latest());
        reports.add(report);
    }
}
