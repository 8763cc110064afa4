package loadbalancer.node.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Acknowledgement.Status;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.UpdatePart;
import loadbalancer.control.subscribe.SubscriptionTransport;
import loadbalancer.http1.control.SubscriptionEvents;
import loadbalancer.node.Config;
import loadbalancer.node.ConfigTarget;
import loadbalancer.node.StateStorage;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.settings.ControlSubscription;
import loadbalancer.settings.ControlSubscription.ListSource;
import loadbalancer.settings.LoadedSettings;
import loadbalancer.snapshot.DirectoryStorage;
import loadbalancer.transport.SocketTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * A control binding of a balancer. Its connections are replaced by a recorder, and tests deliver
 * the control server's events by direct calls.
 */
abstract class ControlBindingFixture {
    static final int TIMEOUT_SECONDS = 20;

    static final Revision FIRST = new Revision(3, 17);

    static final Revision SECOND = new Revision(3, 18);

    @TempDir Path folder;

    final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    final SocketTransport transport = new SocketTransport(group.next());

    final ProcessMetrics metrics = new ProcessMetrics();

    final BlockingQueue<SubscribeRequest> opened = new LinkedBlockingQueue<>();

    final BlockingQueue<Acknowledgement> acknowledged = new LinkedBlockingQueue<>();

    final BlockingQueue<String> written = new LinkedBlockingQueue<>();

    final List<LoadedSettings> settings = new ArrayList<>();

    final List<EndpointListUpdate> lists = new ArrayList<>();

    final List<EndpointListUpdate> restoredLists = new ArrayList<>();

    SubscriptionEvents events;

    int ticks;

    volatile int ticksAtAcknowledgement;

    volatile int closedConnections;

    ControlBinding binding;

    ResourceState published = new ResourceState();

    @AfterEach
    void shutDownLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    final class RecordingConnections implements SubscriptionTransport {
        @Override
        public void open(int server, SubscribeRequest request) {
            opened.add(request);
        }

        @Override
        public void pauseReading(boolean paused) {}

        @Override
        public void close() {
            closedConnections++; // on the event loop only
        }

        @Override
        public void acknowledge(int server, Acknowledgement acknowledgement) {
            ticksAtAcknowledgement = ticks;
            acknowledged.add(acknowledgement);
        }
    }

    final class RecordingBalancer implements ConfigTarget {
        @Override
        public void applySettings(LoadedSettings applied) {
            settings.add(applied);
        }

        @Override
        public void restoreEndpointList(EndpointListUpdate next) {
            restoredLists.add(next);
        }

        @Override
        public void replaceEndpointList(EndpointListUpdate update) {
            lists.add(update);
        }

        @Override
        public void endpointListUnavailable() {}
    }

    <T> T onLoop(Callable<T> task) throws Exception {
        return group.next().submit(task).sync().getNow();
    }

    static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T element = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(element, "no element was added within the timeout");
        return element;
    }

    /** Starts a binding that leads, and returns the merged configuration. */
    Config start(ListSource list, StateStorage storage) throws Exception {
        ControlSubscription subscription =
                new ControlSubscription(
                        "lb-1", Samples.SERVICE, List.of("127.0.0.1:9", "127.0.0.1:10"), "z", list);
        return onLoop(
                () -> {
                    binding =
                            new ControlBinding(
                                    transport,
                                    subscription,
                                    storage,
                                    metrics,
                                    new RecordingConnections(),
                                    listener -> events = listener);
                    Config config = binding.atStart(Samples.config());
                    binding.start(new RecordingBalancer());
                    binding.setLeading(true);
                    return config;
                });
    }

    StateStorage diskStorage() {
        return new StateStorage(
                new DirectoryStorage(folder),
                task -> {
                    task.run();
                    written.add("written");
                });
    }

    Path stateFile() {
        return folder.resolve("control-lb-1.state");
    }

    /** Delivers an update that puts and deletes resources, and returns its acknowledgement. */
    Acknowledgement publish(Revision to, List<Resource> put, List<ResourceId> deleted)
            throws Exception {
        Revision from = published.revision();
        published.apply(to, new Change("c", put, deleted));
        UpdatePart part =
                new UpdatePart(
                        from,
                        0,
                        put.stream().map(r -> published.get(r.id())).toList(),
                        deleted,
                        new UpdatePart.Completion(to, published.digest(Scope.of(Samples.SERVICE))));
        byte[] line = ResourceCodec.encode(part);
        onLoop(
                () -> {
                    ticks = 0;
                    events.line(line);
                    return null;
                });
        return next(acknowledged);
    }

    Acknowledgement publish(Revision to, Resource... put) throws Exception {
        return publish(to, List.of(put), List.of());
    }

    void assertRejected(Acknowledgement rejection, String place, String reason) throws Exception {
        assertEquals(Status.REJECTED, rejection.status());
        assertEquals(FIRST, rejection.inForce());
        assertTrue(
                (rejection.place() + ": " + rejection.reason()).contains(place + ": " + reason),
                rejection.toString());
        assertTrue(metrics.render().contains("app.control_refusals:1|c"), metrics.render());
        assertTrue(metrics.render().contains("app.control_revision:17|g"), metrics.render());
    }
}
