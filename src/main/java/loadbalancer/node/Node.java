package loadbalancer.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import loadbalancer.http1.downstream.ClientServer;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;

/**
 * One balancer in one process, from its start to its end. All of it runs on one event loop; {@link
 * #listen}, {@link #listening}, {@link #stop} and {@link #close} may be called from other threads.
 */
public final class Node {
    /** How often the state of a second process is checked. */
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
        siblingMonitor =
                new SiblingMonitor(
                        sibling,
                        isSiblingRunning,
                        components,
                        dependencies.overlay(),
                        currentConfig);
        listener =
                new ListenerLifecycle(
                        dependencies, components, sibling, siblingMonitor, currentConfig);
        configReloader = new ConfigReloader(dependencies, components, currentConfig, listener);
        components.dispatcher().siblingProcessChanged(isSiblingRunning);
    }

    /** Where a configuration comes from, at the start and at each reload. */
    public interface ConfigSource {
        /**
         * Reads the present configuration.
         *
         * @throws InvalidInputException if any part of it is not valid
         * @throws IOException if it can't be read
         */
        Config read() throws InvalidInputException, IOException;
    }

    /** How a process makes itself known to others of the same balancer. */
    public interface SiblingSource {
        /** Joins those that listen at the address. */
        SiblingProcess join(InetSocketAddress listen);
    }

    /** Creates a node on real sockets; it accepts no clients before {@link #listen}. */
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

    /** The same with clock, channels and decision module given; from any thread but the loop. */
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
     * Creates a node, on the loop, with everything outside the process given.
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
     * Creates a node, on the loop.
     *
     * @throws InvalidInputException if the configuration is not valid
     * @throws IOException if the configuration can't be read
     */
    static Node create(NodeDependencies dependencies, SiblingSource siblings)
            throws InvalidInputException, IOException {
        Config config = dependencies.overlay().atStart(dependencies.source().read());
        Node node = new Node(dependencies, config, siblings.join(config.listen()));
        node.begin(dependencies);
        return node;
    }

    private void begin(NodeDependencies dependencies) {
        ListSource listSource = components.listSource();
        components.dispatcher().start(listSource, components.initialList());
        components.persistence().begin(components.dispatcher(), listSource);
        dependencies.overlay().start(configReloader);
        siblingMonitor.notifyLeadership(listener.isStopping());
        RepeatingTask.every(
                dependencies.transport().loop(),
                SIBLING_POLL_MILLIS,
                "looking for a sibling",
                this::pollSibling);
    }

    private void pollSibling() {
        siblingMonitor.poll(listener.isStopping());
    }

    /**
     * Accepts clients, and returns once it does; false if a stop came first. Not from the loop.
     *
     * @throws InterruptedException if interrupted while waiting
     */
    boolean listen() throws InterruptedException {
        Future<Void> done = listening();
        return done.await().isCancelled() ? false : done.sync().isSuccess();
    }

    /** Accepts clients as {@link ListenerLifecycle#start} says; cancelled if a stop comes first. */
    public Future<Void> listening() {
        return listener.start();
    }

    ClientServer server() {
        return components.server();
    }

    /** Reads the configuration again, as {@link ConfigReloader#reload} says; on the loop. */
    public void reload() {
        configReloader.reload();
    }

    /** Stops gracefully, as {@link ListenerLifecycle#stop} says; any thread may call it. */
    public Future<Void> stop() {
        return listener.stop();
    }

    /**
     * Leaves the sibling's lock file, as at the end of the process.
     *
     * @throws IOException if the file can't be closed
     */
    public void close() throws IOException {
        sibling.close();
    }
}
