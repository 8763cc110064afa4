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
import loadbalancer.transport.MillisecondIoHandler;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;

/**
 * Starts one balancer on sockets for {@code serve}. On the main thread, except where a method says
 * that it runs on the loop.
 */
final class ServeCommand {
    /** Enough requests to load and compile all that one request needs. */
    private static final int WARMUP_REQUESTS = 600;

    /**
     * Bound of the warm-up on a slow machine: when most of a fleet restarts at once, clients wait
     * for it.
     */
    private static final long WARMUP_MAX_MILLIS = 1_500;

    private ServeCommand() {}

    /**
     * Starts the balancer step by step; returns once it accepts clients, or if a stop was requested
     * meanwhile, after the present step.
     *
     * @param operatorPath the operator's file; null for none
     * @param loop serves everything but the admin endpoint
     * @param environment null for real time and files
     * @throws Exception if a file is not valid, or an address can't be bound
     */
    static void start(
            Path configFile,
            Path operatorPath,
            EventLoop loop,
            Environment environment,
            Lifecycle lifecycle)
            throws Exception {
        lifecycle.onReload(() -> loop.execute(() -> reload(lifecycle, operatorPath)));
        OperatorFile operatorFile = readOperatorFile(loop, operatorPath);
        Config config = Config.read(configFile);
        ProcessMetrics metrics = new ProcessMetrics();
        startAdminServer(config, metrics, lifecycle);
        int warmupRequests = Warmup.run(config, WARMUP_REQUESTS, WARMUP_MAX_MILLIS);
        Transport transport =
                environment == null ? new SocketTransport(loop) : environment.transport(loop);
        StateStorage storage = storage(operatorFile, environment);
        LoadBalancerFactory loadBalancers =
                environment == null ? LoadBalancerFactory.BALANCE : environment.policies();
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

    /** Creates the node on the transport's loop; null if the process was stopped meanwhile. */
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

    /** Listens for operators on a thread of its own, so that a busy balancer still responds. */
    private static void startAdminServer(Config config, ProcessMetrics metrics, Lifecycle lifecycle)
            throws InvalidInputException, IOException {
        InetSocketAddress address = adminAddress(config, System.getenv("NODE_OPS"));
        if (address != null) {
            EventLoop adminLoop =
                    new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.factory()).next();
            new AdminServer(
                    new SocketTransport(adminLoop), address, metrics, lifecycle::whyNotReady);
        }
    }

    /** Reads the operator's file on the loop and sets the log levels; null where none is named. */
    private static OperatorFile readOperatorFile(EventLoop loop, Path operatorPath)
            throws InterruptedException {
        if (operatorPath == null) {
            return null;
        }
        return loop.submit(
                        () -> {
                            OperatorFile read = OperatorFile.read(operatorPath);
                            LogConfigurator.apply(read.log());
                            return read;
                        })
                .sync()
                .getNow();
    }

    /**
     * Configuration from the control machines that the operator's file names; classes of control
     * are loaded only then.
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
     * Where state is persisted: as the operator's file says, else in {@code NODE_STATE}, else
     * nowhere.
     */
    private static StateStorage storage(OperatorFile operatorFile, Environment environment) {
        String configured = operatorFile == null ? "" : operatorFile.stateFolder();
        Path folder = Main.path(configured.isEmpty() ? System.getenv("NODE_STATE") : configured);
        if (folder == null) {
            return StateStorage.NONE;
        }
        Storage disk =
                environment == null ? new DirectoryStorage(folder) : environment.storage(folder);
        return new StateStorage(
                disk,
                Executors.newSingleThreadExecutor(
                        task -> {
                            Thread thread = new Thread(task, "state");
                            thread.setDaemon(true);
                            return thread;
                        }));
    }

    /**
     * Reloads both files, on the loop, where they are first read, too: of two readings the later
     * one holds. Without a node yet, its configuration is still to be read.
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
                            "kept what the operator's file said before: " + e.getMessage());
        }
    }

    /**
     * Address of the admin endpoint: as configured, else as the environment has it; null for none.
     *
     * @throws InvalidInputException if the environment's text is not an address
     */
    static InetSocketAddress adminAddress(Config config, String fallback)
            throws InvalidInputException {
        return config.ops() != null || fallback == null || fallback.isEmpty()
                ? config.ops()
                : Config.address(fallback);
    }

    /** Folder of the lock file by which the processes of one balancer find each other. */
    private static Path temporaryFolder() {
        String folder = System.getenv("TMPDIR");
        return Path.of(
                folder == null || folder.isEmpty() ? System.getProperty("java.io.tmpdir") : folder);
    }
}
