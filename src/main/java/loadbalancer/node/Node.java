package loadbalancer.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.http1.downstream.ClientServer;
import loadbalancer.http1.upstream.Http1UpstreamTransport;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.proxy.PolicySetup;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.proxy.UpstreamTransport;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.LoadedSettings;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;

/**
 * One balancer in one process, from its start to its end. All of it lives on one event loop; what
 * operators ask may come from any thread.
 */
public final class Node implements ConfigTarget {
    private static final System.Logger LOG = System.getLogger(Node.class.getName());

    /** How often to look for a second process, and whether the list is known. */
    private static final long LOOK_MS = 100;

    private final Transport transport;
    private final EventLoop loop;
    private final ConfigSource source;
    private final ProcessMetrics figures;
    private Config config;
    private final SiblingProcess sibling;
    private final UpstreamTransport upstreams;
    private final RequestDispatcher driver;
    private final ConfigOverlay overlay;
    private final Discovery discovery;
    private final ListSource listSource;
    private final ClientServer server;
    private final StatePersistence persistence;
    private final EndpointListUpdate known;
    private boolean shares;

    /** Of two processes this is the one that came second. */
    private boolean follows;

    private Phase phase = Phase.CLOSED;
    private Future<Void> listened;
    private Promise<Void> stopped;
    private long toldAt;

    /** Whether clients can get in; {@link #listen} and {@link #stop} lead on, on the loop. */
    private enum Phase {
        CLOSED,
        BINDING,
        OPEN,
        STOPPING
    }

    private Node(
            Transport transport,
            ConfigSource source,
            ProcessMetrics figures,
            SiblingProcess sibling,
            Config config,
            StateStorage storage,
            LoadBalancerFactory modules,
            ConfigOverlay overlay) {
        this.transport = transport;
        this.loop = transport.loop();
        this.source = source;
        this.figures = figures;
        this.config = config;
        this.overlay = overlay;
        this.sibling = sibling;
        this.shares = sibling.lives();
        this.follows = shares;
        var settings = config.facts().settings();
        ConnectionLimits connectionLimits = ConnectionLimits.of(config.sockets(), shares);
        this.upstreams =
                new Http1UpstreamTransport(
                        transport,
                        settings.limits().connectTimeoutMicros(),
                        settings.limits().idleConnectionTimeoutMicros(),
                        connectionLimits.upstreams());
        this.driver = driver(transport, config, upstreams, figures, modules);
        this.persistence = new StatePersistence(transport, storage, sibling, config.listen());
        this.known =
                persistence.load(
                        config.known(),
                        overlay.listSource()
                                .map(ListSource::origin)
                                .orElse(Discovery.origin(config.discovery())));
        this.discovery =
                new Discovery(
                        transport,
                        config.discovery(),
                        settings.isEndpointListPolled(),
                        known.version(),
                        driver);
        this.listSource = overlay.listSource().orElse(discovery);
        this.server =
                new ClientServer(transport, driver, config.facts(), connectionLimits.clients());
    }

    /** What takes requests through the module, as a configuration has it. */
    static RequestDispatcher driver(
            Transport transport,
            Config config,
            UpstreamTransport upstreams,
            ProcessMetrics figures,
            LoadBalancerFactory modules) {
        return new RequestDispatcher(
                transport,
                config.facts(),
                new PolicySetup(modules, config.seed(), ConnectionLimits.held(config.sockets())),
                config.listen().getHostString(),
                upstreams,
                figures);
    }

    /** Where a configuration comes from, at the start and at each reload. */
    public interface ConfigSource {
        /** The configuration as it is now; refused as a whole if it is not good. */
        Config read() throws InvalidInputException, IOException;
    }

    /** How a process tells of itself to others of the same balancer. */
    public interface SiblingSource {
        /** Joins those that listen at the address. */
        SiblingProcess join(InetSocketAddress listen);
    }

    /** Makes a balancer that follows discovery; it serves nobody before {@link #listen}. */
    static Node start(
            Path file, EventLoop loop, ProcessMetrics figures, Path folder, StateStorage storage)
            throws Exception {
        return start(
                file,
                new SocketTransport(loop),
                figures,
                folder,
                storage,
                LoadBalancerFactory.BALANCE);
    }

    /** The same with time, channels and decisions handed in. */
    static Node start(
            Path file,
            Transport transport,
            ProcessMetrics figures,
            Path folder,
            StateStorage storage,
            LoadBalancerFactory modules)
            throws Exception {
        return transport
                .loop()
                .submit(
                        () ->
                                create(
                                        () -> Config.read(file),
                                        transport,
                                        figures,
                                        listen -> FileLockSibling.join(folder, listen),
                                        storage,
                                        modules))
                .sync()
                .getNow();
    }

    /** The same from within the loop, with all that comes from outside handed in. */
    public static Node create(
            ConfigSource source,
            Transport transport,
            ProcessMetrics figures,
            SiblingSource siblings,
            StateStorage storage,
            LoadBalancerFactory modules)
            throws InvalidInputException, IOException {
        return create(source, transport, figures, siblings, storage, modules, ConfigOverlay.NONE);
    }

    /** The same with configuration from elsewhere laid over the source's. */
    public static Node create(
            ConfigSource source,
            Transport transport,
            ProcessMetrics figures,
            SiblingSource siblings,
            StateStorage storage,
            LoadBalancerFactory modules,
            ConfigOverlay overlay)
            throws InvalidInputException, IOException {
        Config config = overlay.atStart(source.read());
        Node node =
                new Node(
                        transport,
                        source,
                        figures,
                        siblings.join(config.listen()),
                        config,
                        storage,
                        modules,
                        overlay);
        node.driver.siblingProcessChanged(node.shares);
        node.driver.start(node.listSource, node.known);
        node.persistence.begin(node.driver, node.listSource);
        overlay.begin(node);
        node.tellWhoLeads();
        RepeatingTask.every(
                transport.loop(), LOOK_MS, "looking for a sibling", node::lookForSibling);
        return node;
    }

    /** Lets clients in, and returns when it does; false if it was told to stop before. */
    boolean listen() throws InterruptedException {
        Future<Void> done = listening();
        return done.await().isCancelled() ? false : done.sync().isSuccess();
    }

    /**
     * Lets clients in; cancelled if the stop comes first. One that replaces another waits for the
     * list: from the moment it listens the system deals part of the clients to it, and the other
     * one still serves them better. Once that one is told to stop or gone, clients have no better
     * place.
     */
    public Future<Void> listening() {
        Promise<Void> done = loop.newPromise();
        loop.execute(() -> listen(done));
        return done;
    }

    private void listen(Promise<Void> done) {
        if (phase == Phase.STOPPING) {
            done.cancel(false);
            return;
        }
        if (sibling.listens() && !driver.isReady()) {
            loop.schedule(() -> listen(done), LOOK_MS, TimeUnit.MILLISECONDS);
            return;
        }
        phase = Phase.BINDING;
        listened = done;
        server.bind(config.listen())
                .addListener(
                        f -> {
                            if (f.isSuccess()) {
                                phase = Phase.OPEN;
                                sibling.listening(true);
                                done.setSuccess(null);
                            } else {
                                phase = Phase.CLOSED;
                                done.tryFailure(
                                        f.cause()); // a cancellation, too, if the stop came first
                            }
                        });
    }

    /** Two processes share what is given to one: descriptors first of all. */
    private void lookForSibling() {
        boolean two = sibling.lives();
        follows &= two;
        tellWhoLeads();
        if (phase == Phase.STOPPING) {
            server.setSuccessorListening(sibling.listens());
        }
        if (two != shares) {
            shares = two;
            ConnectionLimits connectionLimits = ConnectionLimits.of(config.sockets(), shares);
            server.setMaxConnections(connectionLimits.clients());
            upstreams.setMaxConnections(connectionLimits.upstreams());
            driver.siblingProcessChanged(two);
        }
    }

    private void tellWhoLeads() {
        overlay.lead(phase != Phase.STOPPING && !(follows && sibling.listens()));
    }

    ClientServer server() {
        return server;
    }

    /**
     * Reads the configuration again. All of it is checked before anything changes, and then
     * discovery and the settings change together; addresses and limits are those of the start.
     */
    public void reload() {
        try {
            take(overlay.over(source.read().after(config)));
            discovery.move(config.discovery());
            figures.configurationLoaded(true);
            LOG.log(System.Logger.Level.INFO, "took the new configuration");
        } catch (IOException | InvalidInputException | RuntimeException e) {
            figures.configurationLoaded(false);
            LOG.log(
                    System.Logger.Level.WARNING,
                    "kept the old configuration: " + Main.firstLine(e));
        }
    }

    private void take(Config next) {
        config = next;
        var limits = next.facts().settings().limits();
        upstreams.setTimeouts(limits.connectTimeoutMicros(), limits.idleConnectionTimeoutMicros());
        server.updateSettings(next.facts());
        driver.updateSettings(next.facts());
        if (server.isShuttingDown()) {
            drain();
        }
    }

    @Override
    public void settings(LoadedSettings facts) {
        take(config.with(facts));
    }

    @Override
    public void list(EndpointListUpdate whole) {
        driver.updateEndpoints(EndpointListUpdateType.FULL, whole);
    }

    @Override
    public void listUnavailable() {
        driver.endpointListUnavailable();
    }

    /**
     * Ends without losing anything; the future is done when nothing is left. With a successor in
     * place clients go there from now on; without one they have nowhere to go yet and are still let
     * in. Any thread may ask; times count from this call, however late the loop gets to it.
     */
    public synchronized Future<Void> stop() {
        if (stopped == null) { // or told again
            stopped = loop.newPromise();
            server.reportStopping();
            long told = transport.nanoTime();
            loop.execute(() -> stop(told));
        }
        return stopped;
    }

    private void stop(long told) {
        switch (phase) {
            case CLOSED -> {
                phase = Phase.STOPPING;
                stopped.setSuccess(null); // nothing was taken
            }
            case BINDING ->
                    listened.addListener(
                            f -> stop(told)); // whoever has connected by then is served
            case OPEN -> {
                phase = Phase.STOPPING;
                toldAt = told;
                tellWhoLeads();
                persistence.leaving();
                sibling.listening(false);
                server.setSuccessorListening(sibling.listens());
                LOG.log(
                        System.Logger.Level.INFO,
                        sibling.listens() ? "hands over to a successor" : "has no successor");
                drain();
            }
            default -> throw new IllegalStateException("stops twice");
        }
    }

    /**
     * Goes by the settings as they are, also for requests that came under longer deadlines: SIGKILL
     * does. If these settings follow within the stop and leave less time, the sooner times hold.
     */
    private void drain() {
        long gone = TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - toldAt);
        server.shutDownGracefully(ShutdownTimings.of(config.facts().settings()).after(gone))
                .addListener(f -> drained());
    }

    private void drained() {
        if (!stopped.isDone()) {
            driver.reportUnanswered();
            LOG.log(
                    System.Logger.Level.INFO,
                    "rules broken since the start: " + figures.violations().summary());
            stopped.trySuccess(null);
        }
    }

    /** Gives up its place beside a sibling. */
    public void close() throws IOException {
        sibling.close();
    }
}
