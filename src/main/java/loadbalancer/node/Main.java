package loadbalancer.node;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.function.IntConsumer;
import loadbalancer.adapter.Adapter;
import loadbalancer.admin.AdminServer;
import loadbalancer.logging.Logs;
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
 * Command line: {@code serve} runs one balancer on sockets, {@code adapter} the module on the
 * simulator; all else goes to the tools.
 */
public final class Main {
    /** Enough requests to load and compile all that one request needs. */
    private static final int WARMUP_REQUESTS = 600;

    /**
     * Bound of the warm-up on a slow machine: when most of a fleet restarts at once, clients wait
     * for it.
     */
    private static final long WARMUP_MAX_MILLIS = 1_500;

    /** Property of the log's format; set to one line for each message, where the default has two. */
    private static final String LOG_FORMAT = "java.util.logging.SimpleFormatter.format";

    private Main() {}

    /**
     * Runs until SIGTERM ({@code serve}) or the end of input ({@code adapter}).
     *
     * @throws Exception if the program of the full class path can't be started
     */
    public static void main(String[] args) throws Exception {
        if (path(System.getenv("NODE_OPERATOR")) != null && !FullClassPath.isComplete()) {
            if (serves(args)) {
                // Handles signals until the Lifecycle of the other class loader does.
                new Lifecycle(System.err, System::exit).listenTo(Signals::ofSystem);
            }
            // What the operator's file switches on needs libraries of its own.
            FullClassPath.runMain(args);
            return;
        }
        runOrExit(args, null);
    }

    /**
     * Serves as {@code serve} does, in another environment; all libraries must be on the class path.
     */
    public static void serve(Environment environment) {
        runOrExit(new String[] {"serve"}, environment);
    }

    private static void runOrExit(String[] args, Environment environment) {
        if (System.getProperty(LOG_FORMAT) == null) {
            System.setProperty(LOG_FORMAT, "%4$s %5$s%6$s%n");
        }
        int exitCode =
                run(
                        args,
                        System.getenv("NODE_CONFIG"),
                        System.err,
                        environment,
                        Signals::ofSystem,
                        System::exit);
        if (exitCode != 0) {
            System.exit(exitCode);
        }
    }

    private static boolean serves(String[] args) {
        return args.length == 1 && args[0].equals("serve");
    }

    /**
     * Runs one command. Without a failure a stop ends the process through {@code exit}.
     *
     * @param environment null for real time and files, so that service loads nothing for the sake
     *     of others
     * @return the exit code: 0 once serving, if stopped before that and at the adapter's end; 1 if
     *     that failed; 2 after a wrong command line
     */
    static int run(
            String[] args,
            String configFile,
            PrintStream errors,
            Environment environment,
            Signals signals,
            IntConsumer exit) {
        if (args.length == 1 && args[0].equals("adapter")) {
            return Adapter.run(args, System.in, System.out, errors);
        }
        if (!serves(args)) {
            return FullClassPath.runTool(args, System.out, errors);
        }
        return startServing(configFile, environment, signals, new Lifecycle(errors, exit));
    }

    private static int startServing(
            String configFile, Environment environment, Signals signals, Lifecycle lifecycle) {
        EventLoopGroup group = null;
        try {
            lifecycle.listenTo(signals);
            // Netty would take SLF4J, which lies on the class path for those who want it, and load
            // it always.
            InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
            if (configFile == null) {
                throw new InvalidInputException("NODE_CONFIG is not set");
            }
            group = new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.factory());
            Path configPath = Path.of(configFile);
            Path operatorPath = path(System.getenv("NODE_OPERATOR"));
            start(configPath, operatorPath, group.next(), environment, lifecycle);
            return 0;
        } catch (Exception | Error e) {
            // An Error, too: threads already started would keep the JVM and serve nobody.
            if (group != null) {
                group.shutdownGracefully();
            }
            return lifecycle.failStart(firstLine(e));
        }
    }

    /** Starts the balancer step by step, on the main thread; a stop makes the present step last. */
    private static void start(
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
                environment == null ? LoadBalancerFactory.BALANCE : environment.modules();
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
        return transport.loop()
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
                                                            operatorFile, transport, storage,
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
    private static void startAdminServer(
            Config config, ProcessMetrics metrics, Lifecycle lifecycle)
            throws InvalidInputException {
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
                            Logs.use(read.log());
                            return read;
                        })
                .sync()
                .getNow();
    }

    private static Path path(String name) {
        return name == null || name.isEmpty() ? null : Path.of(name);
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
                : ControlBinding.create(
                        transport, operatorFile.control().get(), storage, metrics);
    }

    /**
     * Where state is persisted: as the operator's file says, else in {@code NODE_STATE}, else
     * nowhere.
     */
    private static StateStorage storage(OperatorFile operatorFile, Environment environment) {
        String configured = operatorFile == null ? "" : operatorFile.stateFolder();
        Path folder = path(configured.isEmpty() ? System.getenv("NODE_STATE") : configured);
        if (folder == null) {
            return StateStorage.NONE;
        }
        Storage disk = environment == null ? new DirectoryStorage(folder) : environment.disk(folder);
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
                Logs.use(OperatorFile.read(operatorPath).log());
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

    /** First line of a failure's text, with the type unless the text is written for operators. */
    static String firstLine(Throwable e) {
        boolean isForOperators =
                e instanceof InvalidInputException || e instanceof InvalidOperatorFileException;
        return (isForOperators ? e.getMessage() : e.toString()).lines().findFirst().orElse("");
    }
}
