package loadbalancer.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.http1.downstream.ClientServer;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.proxy.RecentRequestIds;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;

/**
 * One balancer in one process. It runs on one event loop; only {@link #listen}, {@link
 * #startListening}, {@link #stop} and {@link #close} may be called from other threads.
 */
public final class Node {
    /** Interval at which the state of a sibling process is checked. */
    private static final long SIBLING_POLL_MILLIS = 100;

    private final SiblingProcess sibling;
    private final NodeComponents components;
    private final SiblingMonitor siblingMonitor;
    private final ListenerLifecycle listener;
    private final ConfigReloader configReloader;

    private Node(NodeDependencies dependencies, Config config, SiblingProcess sibling) {
        this.sibling = sibling;
        boolean isSiblingRunning = sibling.isRunning();
        CurrentConfig currentConfig = new CurrentConfig(config);
        components = NodeComponents.create(dependencies, config, sibling, isSiblingRunning);
        sibling.sharedMemory(RecentRequestIds.SHARED_SIZE_BYTES)
                .map(memory -> new RecentRequestIds(memory, dependencies.transport()::nanoTime))
                .ifPresent(components.dispatcher()::shareRecentIds);
        siblingMonitor =
                new SiblingMonitor(
                        sibling,
                        isSiblingRunning,
                        components,
                        dependencies.overlay(),
                        currentConfig,
                        exchanges(dependencies));
        listener =
                new ListenerLifecycle(
                        dependencies, components, sibling, siblingMonitor, currentConfig);
        configReloader = new ConfigReloader(dependencies, components, currentConfig, listener);
        components.dispatcher().siblingProcessChanged(isSiblingRunning);
    }

    /** Returns the exchanges of what a sibling process needs to know besides its own sources. */
    private List<SharedStateExchange<?>> exchanges(NodeDependencies dependencies) {
        List<SharedStateExchange<?>> exchanges = new ArrayList<>();
        if (components.listSource() == components.discovery()) {
            exchanges.add(
                    exchange(
                            dependencies,
                            new SharedEndpointList(
                                    dependencies.transport(),
                                    components.discovery(),
                                    components.dispatcher().endpointTable())));
        }
        dependencies
                .overlay()
                .sharedState()
                .ifPresent(state -> exchanges.add(exchange(dependencies, state)));
        return exchanges;
    }

    private <T> SharedStateExchange<T> exchange(
            NodeDependencies dependencies, SharedState<T> state) {
        return new SharedStateExchange<>(
                sibling, dependencies.transport().loop(), dependencies.storage().writer(), state);
    }

    /** Reads the local configuration, at the start and at each reload. */
    public interface ConfigSource {
        /**
         * Reads the configuration as it is now.
         *
         * @throws InvalidInputException if any part of it is not valid
         * @throws IOException if it can't be read
         */
        Config read() throws InvalidInputException, IOException;
    }

    /** Connects a process to its sibling process of the same balancer. */
    public interface SiblingSource {
        /** Joins the processes that share a listening address. */
        SiblingProcess join(InetSocketAddress listen);
    }

    /** Creates a node on system sockets; it accepts no clients before {@link #listen}. */
    static Node start(
            Path file, EventLoop loop, ProcessMetrics metrics, Path folder, StateStorage storage)
            throws Exception {
        return start(
                file,
                new SocketTransport(loop),
                metrics,
                folder,
                storage,
                LoadBalancerFactory.BALANCE);
    }

    /**
     * Creates a node with a given transport and policy, and waits for that; must not be called on
     * the event loop.
     */
    static Node start(
            Path file,
            Transport transport,
            ProcessMetrics metrics,
            Path folder,
            StateStorage storage,
            LoadBalancerFactory loadBalancers)
            throws Exception {
        return transport
                .loop()
                .submit(
                        () ->
                                create(
                                        () -> Config.read(file),
                                        transport,
                                        metrics,
                                        listen -> FileLockSibling.join(folder, listen),
                                        storage,
                                        loadBalancers))
                .sync()
                .getNow();
    }

    /**
     * Creates a node without an overlay; must be called on the event loop.
     *
     * @throws InvalidInputException if the configuration is not valid
     * @throws IOException if the configuration can't be read
     */
    public static Node create(
            ConfigSource source,
            Transport transport,
            ProcessMetrics metrics,
            SiblingSource siblings,
            StateStorage storage,
            LoadBalancerFactory loadBalancers)
            throws InvalidInputException, IOException {
        return create(
                new NodeDependencies(
                        source, transport, metrics, storage, loadBalancers, ConfigOverlay.NONE),
                siblings);
    }

    /**
     * Creates a node; must be called on the event loop.
     *
     * @throws InvalidInputException if the configuration is not valid
     * @throws IOException if the configuration can't be read
     */
    static Node create(NodeDependencies dependencies, SiblingSource siblings)
            throws InvalidInputException, IOException {
        Config config = dependencies.overlay().atStart(dependencies.source().read());
        Node node = new Node(dependencies, config, siblings.join(config.listen()));
        node.startComponents(dependencies);
        return node;
    }

    private void startComponents(NodeDependencies dependencies) {
        ListSource listSource = components.listSource();
        components.dispatcher().start(listSource, components.initialList());
        components.persistence().start(components.dispatcher(), listSource);
        dependencies.overlay().start(configReloader);
        siblingMonitor.notifyLeadership(listener.isStopping());
        RepeatingTask.every(
                dependencies.transport().loop(),
                SIBLING_POLL_MILLIS,
                "checking for a sibling process",
                this::pollSibling);
    }

    private void pollSibling() {
        siblingMonitor.poll(listener.isStopping());
    }

    /**
     * Starts to accept clients and waits until it does; false if a stop came first. Must not be
     * called on the event loop.
     *
     * @throws InterruptedException if interrupted while waiting
     */
    boolean listen() throws InterruptedException {
        Future<Void> done = startListening();
        return done.await().isCancelled() ? false : done.sync().isSuccess();
    }

    /**
     * Starts to accept clients, see {@link ListenerLifecycle#start}; the future is cancelled if a
     * stop comes first.
     */
    public Future<Void> startListening() {
        return listener.start();
    }

    ClientServer server() {
        return components.server();
    }

    /** Reloads the configuration, see {@link ConfigReloader#reload}; used on the event loop. */
    public void reload() {
        configReloader.reload();
    }

    /** Stops gracefully, see {@link ListenerLifecycle#stop}; thread-safe. */
    public Future<Void> stop() {
        return listener.stop();
    }

    /**
     * Releases the lock file that is shared with the sibling process, as the end of the process
     * does.
     *
     * @throws IOException if the file can't be closed
     */
    public void close() throws IOException {
        sibling.close();
    }
}
