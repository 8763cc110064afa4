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
 * Command line: {@code serve} runs one balancer on sockets, {@code adapter} the module on the
 * simulator; all else goes to the tools.
 */
public final class Main {
    /**
     * So many requests compile all that one needs. A slow machine must not keep clients waiting,
     * though: when most of a fleet restarts at once, each second of it is a second's requests;
     * later ones gain little.
     */
    private static final int REHEARSED = 600;

    private static final long REHEARSAL_MS = 1_500;

    /** A line for each message: as it comes, the log has two. */
    private static final String LOG_FORMAT = "java.util.logging.SimpleFormatter.format";

    private Main() {}

    /** Runs until SIGTERM ({@code serve}) or the end of input ({@code adapter}). */
    public static void main(String[] args) throws Exception {
        if (path(System.getenv("NODE_OPERATOR")) != null && !FullClassPath.isComplete()) {
            if (serves(args)) {
                new Lifecycle(System.err, System::exit)
                        .listenTo(Signals::ofSystem); // until its own does
            }
            FullClassPath.runMain(
                    args); // what the operator's file switches on needs libraries of its own
            return;
        }
        runOrExit(args, null);
    }

    /**
     * Serves as {@code serve} does, in other surroundings; all libraries must be on the class path.
     */
    public static void serve(Environment outside) {
        runOrExit(new String[] {"serve"}, outside);
    }

    private static void runOrExit(String[] args, Environment outside) {
        if (System.getProperty(LOG_FORMAT) == null) {
            System.setProperty(LOG_FORMAT, "%4$s %5$s%6$s%n");
        }
        int exit =
                run(
                        args,
                        System.getenv("NODE_CONFIG"),
                        System.err,
                        outside,
                        Signals::ofSystem,
                        System::exit);
        if (exit != 0) {
            System.exit(exit);
        }
    }

    private static boolean serves(String[] args) {
        return args.length == 1 && args[0].equals("serve");
    }

    /**
     * Returns 0 once serving, when told to stop before that and at the adapter's end, 1 if that
     * failed, 2 after a wrong command line. A stop ends in {@code exit}.
     *
     * @param outside null for real time and files, so that service loads nothing for the sake of
     *     others
     */
    static int run(
            String[] args,
            String config,
            PrintStream err,
            Environment outside,
            Signals signals,
            IntConsumer exit) {
        if (args.length == 1 && args[0].equals("adapter")) {
            return Adapter.run(args, System.in, System.out, err);
        }
        if (!serves(args)) {
            return FullClassPath.runTool(args, System.out, err);
        }
        Lifecycle life = new Lifecycle(err, exit);
        EventLoopGroup group = null;
        try {
            life.listenTo(signals);
            // Netty would take SLF4J, which lies on the class path for those who want it, and load
            // it always.
            InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
            if (config == null) {
                throw new InvalidInputException("NODE_CONFIG is not set");
            }
            group = new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.factory());
            start(
                    Path.of(config),
                    path(System.getenv("NODE_OPERATOR")),
                    group.next(),
                    outside,
                    life);
            return 0;
        } catch (Exception
                | Error e) { // an Error, too: threads begun would keep the JVM and serve nobody
            if (group != null) {
                group.shutdownGracefully();
            }
            return life.fails(firstLine(e));
        }
    }

    /** Each step is the last one if the process is told to stop meanwhile. */
    private static void start(
            Path file, Path operator, EventLoop loop, Environment outside, Lifecycle life)
            throws Exception {
        // On the loop, where files are read first, too: of two readings the later one holds.
        // Before a node is made there is none, and it reads the new file anyway.
        life.onReload(
                () ->
                        loop.execute(
                                () -> {
                                    if (life.node() != null) {
                                        life.node().reload();
                                    }
                                    reload(operator);
                                }));
        OperatorFile told = readOperatorFile(loop, operator);
        Config first = Config.read(file);
        ProcessMetrics figures = new ProcessMetrics();
        InetSocketAddress ops = door(first, System.getenv("NODE_OPS"));
        if (ops != null) {
            // A thread of its own, so that a busy balancer still answers.
            EventLoop own =
                    new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.factory()).next();
            new AdminServer(new SocketTransport(own), ops, figures, life::whyNotReady);
        }
        int rehearsed = Warmup.run(first, REHEARSED, REHEARSAL_MS);
        Transport transport = outside == null ? new SocketTransport(loop) : outside.transport(loop);
        StateStorage storage = storage(told, outside);
        LoadBalancerFactory modules =
                outside == null ? LoadBalancerFactory.BALANCE : outside.modules();
        Node node =
                !life.starts()
                        ? null
                        : loop.submit(
                                        () -> {
                                            Node made =
                                                    Node.create(
                                                            new NodeDependencies(
                                                                    () -> Config.read(file),
                                                                    transport,
                                                                    figures,
                                                                    storage,
                                                                    modules,
                                                                    overlay(
                                                                            told, transport,
                                                                            storage, figures)),
                                                            listen ->
                                                                    FileLockSibling.join(
                                                                            temporary(), listen));
                                            return life.begun(made) ? made : null;
                                        })
                                .sync()
                                .getNow();
        if (node != null && node.listen()) {
            life.serves(rehearsed);
        }
    }

    /** Reads the operator's file on the loop and sets the log levels; null where none is named. */
    private static OperatorFile readOperatorFile(EventLoop loop, Path operator)
            throws InterruptedException {
        if (operator == null) {
            return null;
        }
        return loop.submit(
                        () -> {
                            OperatorFile read = OperatorFile.read(operator);
                            LogConfigurator.apply(read.log());
                            return read;
                        })
                .sync()
                .getNow();
    }

    private static Path path(String name) {
        return name == null || name.isEmpty() ? null : Path.of(name);
    }

    /**
     * What control machines give, if the operator's file names any; no class of control is loaded
     * else.
     */
    private static ConfigOverlay overlay(
            OperatorFile own, Transport transport, StateStorage storage, ProcessMetrics figures)
            throws InvalidInputException {
        return own == null || own.control().isEmpty()
                ? ConfigOverlay.NONE
                : ControlBinding.create(transport, own.control().get(), storage, figures);
    }

    /**
     * Where to keep what is known: as the operator's file says, else in {@code NODE_STATE}, else
     * nowhere.
     */
    private static StateStorage storage(OperatorFile own, Environment outside) {
        String told = own == null ? "" : own.stateFolder();
        Path folder = path(told.isEmpty() ? System.getenv("NODE_STATE") : told);
        if (folder == null) {
            return StateStorage.NONE;
        }
        Storage disk = outside == null ? new DirectoryStorage(folder) : outside.disk(folder);
        return new StateStorage(
                disk,
                Executors.newSingleThreadExecutor(
                        task -> {
                            Thread thread = new Thread(task, "state");
                            thread.setDaemon(true);
                            return thread;
                        }));
    }

    /** Takes the operator's file anew, or keeps what holds. */
    static void reload(Path operator) {
        try {
            if (operator != null) {
                LogConfigurator.apply(OperatorFile.read(operator).log());
            }
        } catch (InvalidOperatorFileException e) {
            System.getLogger(Main.class.getName())
                    .log(
                            System.Logger.Level.WARNING,
                            "kept what the operator's file said before: " + e.getMessage());
        }
    }

    /** Where operators call: as configured, else as the environment has it; null for nowhere. */
    static InetSocketAddress door(Config config, String otherwise) throws InvalidInputException {
        return config.ops() != null || otherwise == null || otherwise.isEmpty()
                ? config.ops()
                : Config.address(otherwise);
    }

    /** Where the processes of one balancer meet. */
    private static Path temporary() {
        String folder = System.getenv("TMPDIR");
        return Path.of(
                folder == null || folder.isEmpty() ? System.getProperty("java.io.tmpdir") : folder);
    }

    static String firstLine(Throwable e) {
        boolean ours =
                e instanceof InvalidInputException || e instanceof InvalidOperatorFileException;
        return (ours ? e.getMessage() : e.toString()).lines().findFirst().orElse("");
    }
}
