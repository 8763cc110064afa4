package loadbalancer.node;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import loadbalancer.admin.AdminServer;
import loadbalancer.logging.LogConfigurator;
import loadbalancer.node.control.ControlBinding;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.InvalidOperatorFileException;
import loadbalancer.settings.OperatorFile;
import loadbalancer.snapshot.DirectoryStorage;
import loadbalancer.snapshot.Storage;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.MillisecondIoHandler;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;

/**
 * Starts one balancer on sockets for {@code serve}. Methods run on the main thread unless they are
 * documented to run on the event loop.
 */
final class ServeCommand {
    /** Enough for the JVM to load and compile all code that a request runs. */
    private static final int WARMUP_REQUESTS = 600;

    /**
     * Limits the warm-up on a slow machine, because clients wait for it when most of a fleet
     * restarts at the same time.
     */
    private static final long WARMUP_MAX_MILLIS = 1_500;

    private ServeCommand() {}

    /**
     * Starts the balancer. Returns once it accepts clients, or after the current step if a stop was
     * requested.
     *
     * @param operatorPath path of the operator's file; null for none
     * @param loop event loop for everything but the admin endpoint
     * @param environment null for the system's clocks, sockets and files
     * @throws Exception if a file is not valid, or an address can't be bound
     */
    static void start(
            Path configFile,
            Path operatorPath,
            EventLoop loop,
            Environment environment,
            Lifecycle lifecycle)
            throws Exception {
        lifecycle.setReloadAction(() -> loop.execute(() -> reload(lifecycle, operatorPath)));
        OperatorFile operatorFile = readOperatorFile(loop, operatorPath);
        Config config = Config.read(configFile);
        ProcessMetrics metrics = new ProcessMetrics();
        startAdminServer(config, metrics, lifecycle);
        int warmupRequests = Warmup.run(config, WARMUP_REQUESTS, WARMUP_MAX_MILLIS);
        Transport transport =
                environment == null
                        ? new SocketTransport(loop, memoryQuota(config))
                        : environment.transport(loop);
        StateStorage storage = storage(operatorFile, environment);
        LoadBalancerFactory loadBalancers =
                environment == null ? LoadBalancerFactory.BALANCE : environment.loadBalancers();
        if (!lifecycle.isStarting()) {
            return;
        }
        Node node =
                createNode(
                        configFile,
                        operatorFile,
                        transport,
                        metrics,
                        storage,
                        loadBalancers,
                        lifecycle);
        if (node != null && node.listen()) {
            lifecycle.reportServing(warmupRequests);
        }
    }

    /** Creates the node on the event loop; returns null if a stop was requested meanwhile. */
    private static Node createNode(
            Path configFile,
            OperatorFile operatorFile,
            Transport transport,
            ProcessMetrics metrics,
            StateStorage storage,
            LoadBalancerFactory loadBalancers,
            Lifecycle lifecycle)
            throws InterruptedException {
        return transport
                .loop()
                .submit(
                        () -> {
                            Node node =
                                    Node.create(
                                            new NodeDependencies(
                                                    () -> Config.read(configFile),
                                                    transport,
                                                    metrics,
                                                    storage,
                                                    loadBalancers,
                                                    overlay(
                                                            operatorFile,
                                                            transport,
                                                            storage,
                                                            metrics)),
                                            listen ->
                                                    FileLockSibling.join(
                                                            temporaryFolder(), listen));
                            return lifecycle.nodeCreated(node) ? node : null;
                        })
                .sync()
                .getNow();
    }

    private static MemoryQuota memoryQuota(Config config) {
        return new MemoryQuota(
                MemoryLimits.peerMemoryBytes(
                        config.memoryMegabytes(), Runtime.getRuntime().maxMemory()));
    }

    /** Starts the admin endpoint on a separate thread, so that a busy balancer still responds. */
    private static void startAdminServer(Config config, ProcessMetrics metrics, Lifecycle lifecycle)
            throws InvalidInputException, IOException {
        InetSocketAddress address = adminAddress(config, System.getenv("NODE_OPS"));
        if (address != null) {
            EventLoop adminLoop =
                    new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.factory()).next();
            new AdminServer(
                    new SocketTransport(adminLoop), address, metrics, lifecycle::notReadyReason);
        }
    }

    /**
     * Reads the operator's file on the event loop and applies its log levels; returns null if no
     * file is configured.
     */
    private static OperatorFile readOperatorFile(EventLoop loop, Path operatorPath)
            throws InterruptedException {
        if (operatorPath == null) {
            return null;
        }
        return loop.submit(
                        () -> {
                            OperatorFile operatorFile = OperatorFile.read(operatorPath);
                            LogConfigurator.apply(operatorFile.log());
                            return operatorFile;
                        })
                .sync()
                .getNow();
    }

    /**
     * Returns the overlay that follows the control servers in the operator's file, or {@link
     * ConfigOverlay#NONE} without such servers. Classes of the control plane are loaded only in the
     * first case.
     */
    private static ConfigOverlay overlay(
            OperatorFile operatorFile,
            Transport transport,
            StateStorage storage,
            ProcessMetrics metrics)
            throws InvalidInputException {
        return operatorFile == null || operatorFile.control().isEmpty()
                ? ConfigOverlay.NONE
                : ControlBinding.create(transport, operatorFile.control().get(), storage, metrics);
    }

    /**
     * Returns the storage of the state: the folder of the operator's file, else that of {@code
     * NODE_STATE}, else none. Its thread starts with the first file operation.
     */
    private static StateStorage storage(OperatorFile operatorFile, Environment environment) {
        String configured = operatorFile == null ? "" : operatorFile.stateFolder();
        Path folder = Main.path(configured.isEmpty() ? System.getenv("NODE_STATE") : configured);
        return new StateStorage(
                folder == null ? null : disk(folder, environment),
                Executors.newSingleThreadExecutor(
                        task -> {
                            Thread thread = new Thread(task, "state");
                            thread.setDaemon(true);
                            return thread;
                        }));
    }

    private static Storage disk(Path folder, Environment environment) {
        return environment == null ? new DirectoryStorage(folder) : environment.storage(folder);
    }

    /**
     * Reloads the configuration and the operator's file. Runs on the event loop, like their first
     * reading, so that of two readings the later one takes effect. Without a node the configuration
     * has not been read yet and needs no reload.
     */
    private static void reload(Lifecycle lifecycle, Path operatorPath) {
        if (lifecycle.node() != null) {
            lifecycle.node().reload();
        }
        reloadOperatorFile(operatorPath);
    }

    private static void reloadOperatorFile(Path operatorPath) {
        try {
            if (operatorPath != null) {
                LogConfigurator.apply(OperatorFile.read(operatorPath).log());
            }
        } catch (InvalidOperatorFileException e) {
            System.getLogger(Main.class.getName())
                    .log(
                            System.Logger.Level.WARNING,
                            "operator's file not reloaded, the previous log levels stay in force: "
                                    + e.getMessage());
        }
    }

    /**
     * Returns the address of the admin endpoint: the configured one, else the fallback; null if
     * both are absent.
     *
     * @param fallback value of the environment variable; may be null or empty
     * @throws InvalidInputException if the fallback is not an address
     */
    static InetSocketAddress adminAddress(Config config, String fallback)
            throws InvalidInputException {
        return config.adminAddress() != null || fallback == null || fallback.isEmpty()
                ? config.adminAddress()
                : Config.address(fallback);
    }

    /** Returns the folder of the lock file by which sibling processes detect each other. */
    private static Path temporaryFolder() {
        String folder = System.getenv("TMPDIR");
        return Path.of(
                folder == null || folder.isEmpty() ? System.getProperty("java.io.tmpdir") : folder);
    }
}
