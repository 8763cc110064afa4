package yewyoke.node;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicReference;
import yewyoke.adapter.Adapter;
import yewyoke.exchange.Figures;
import yewyoke.settings.BadInput;
import yewyoke.logging.Logs;
import yewyoke.ops.Door;
import yewyoke.transport.RestingIo;
import yewyoke.transport.SocketTransport;
import yewyoke.settings.BadOperatorFile;
import yewyoke.settings.OperatorFile;
import yewyoke.state.Disk;
import yewyoke.state.FolderDisk;

/**
 * Command line: {@code serve} runs one balancer on sockets, {@code adapter} the module on the simulator; all
 * else goes to the tools.
 */
public final class Main {
    /**
     * So many requests compile all that one needs. A slow machine must not keep clients waiting, though: when
     * most of a fleet restarts at once, each second of it is a second's requests; later ones gain little.
     */
    private static final int REHEARSED = 600;
    private static final long REHEARSAL_MS = 1_500;

    /** A line for each message: as it comes, the log has two. */
    private static final String LOG_FORMAT = "java.util.logging.SimpleFormatter.format";

    private Main() { }

    /** Runs until SIGTERM ({@code serve}) or the end of input ({@code adapter}). */
    public static void main(String[] args) throws Exception {
        if (path(System.getenv("NODE_OPERATOR")) != null && !Wide.already()) {
            Wide.main(args); // what the operator's file switches on needs libraries of its own
            return;
        }
        runOrExit(args, null);
    }

    /** Serves as {@code serve} does, in other surroundings; all libraries must be on the class path. */
    public static void serve(Outside outside) {
        runOrExit(new String[] {"serve"}, outside);
    }

    private static void runOrExit(String[] args, Outside outside) {
        if (System.getProperty(LOG_FORMAT) == null) {
            System.setProperty(LOG_FORMAT, "%4$s %5$s%6$s%n");
        }
        int exit = run(args, System.getenv("NODE_CONFIG"), System.err, outside);
        if (exit != 0) {
            System.exit(exit);
        }
    }

    /** In the usual surroundings. */
    static int run(String[] args, String config, PrintStream err) {
        return run(args, config, err, null);
    }

    /**
     * Returns 0 once serving or at the adapter's end, 1 if that failed, 2 after a wrong command line.
     * {@code outside} is null for real time and files, so that service loads nothing for the sake of others.
     */
    private static int run(String[] args, String config, PrintStream err, Outside outside) {
        if (args.length == 1 && args[0].equals("adapter")) {
            return Adapter.run(args, System.in, System.out, err);
        }
        if (args.length != 1 || !args[0].equals("serve")) {
            return Wide.tool(args, System.out, err);
        }
        // Netty would take SLF4J, which lies on the class path for those who want it, and load it every time.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Path operator = path(System.getenv("NODE_OPERATOR"));
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, RestingIo.factory());
        try {
            if (config == null) {
                throw new IllegalArgumentException("NODE_CONFIG is not set");
            }
            Path file = Path.of(config);
            OperatorFile told = operator == null ? null : OperatorFile.read(operator);
            if (told != null) {
                Logs.use(told.log());
            }
            EventLoop loop = group.next();
            AtomicReference<Node> node = new AtomicReference<>();
            // First of all: unhandled, the signal ends the JVM. A node not up yet reads the new file anyway.
            Figures figures = new Figures();
            on("HUP", () -> loop.execute(() -> {
                if (node.get() != null) {
                    node.get().reload();
                }
                reload(operator);
            }));
            Config first = Config.read(file);
            InetSocketAddress ops = door(first, System.getenv("NODE_OPS"));
            if (ops != null) {
                // A thread of its own, so that a busy balancer still answers.
                EventLoop own = new MultiThreadIoEventLoopGroup(1, RestingIo.factory()).next();
                new Door(new SocketTransport(own), ops, figures, () -> {
                    Node up = node.get();
                    return up == null ? "starting" : up.server().whyNotReady();
                });
            }
            int rehearsed = Rehearsal.run(first, REHEARSED, REHEARSAL_MS);
            node.set(outside == null ? Node.start(file, loop, figures, temporary(), shelf(told, null))
                    : Node.start(file, outside.transport(loop), figures, temporary(), shelf(told, outside),
                            outside.modules()));
            node.get().listen();
            err.println("serving, with " + rehearsed + " requests rehearsed");
            // No shutdown hook: as soon as those run, the log is closed, and a stop has something to say.
            on("TERM", () -> stop(node.get(), err));
            on("INT", () -> stop(node.get(), err));
            return 0;
        } catch (Exception e) {
            err.println("can't serve: " + firstLine(e));
            group.shutdownGracefully();
            return 1;
        }
    }

    private static Path path(String name) {
        return name == null || name.isEmpty() ? null : Path.of(name);
    }

    /** Where to keep what is known: as the operator's file says, else in {@code NODE_STATE}, else nowhere. */
    private static Shelf shelf(OperatorFile own, Outside outside) {
        String told = own == null ? "" : own.stateFolder();
        Path folder = path(told.isEmpty() ? System.getenv("NODE_STATE") : told);
        if (folder == null) {
            return Shelf.NONE;
        }
        Disk disk = outside == null ? new FolderDisk(folder) : outside.disk(folder);
        return new Shelf(disk, Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "state");
            thread.setDaemon(true);
            return thread;
        }));
    }

    /** Takes the operator's file anew, or keeps what holds. */
    static void reload(Path operator) {
        try {
            if (operator != null) {
                Logs.use(OperatorFile.read(operator).log());
            }
        } catch (BadOperatorFile e) {
            System.getLogger(Main.class.getName()).log(System.Logger.Level.WARNING,
                    "kept what the operator's file said before: " + e.getMessage());
        }
    }

    /** Where operators call: as configured, else as the environment has it; null for nowhere. */
    static InetSocketAddress door(Config config, String otherwise) throws BadInput {
        return config.ops() != null || otherwise == null || otherwise.isEmpty() ? config.ops()
                : Config.address(otherwise);
    }

    /** Where the processes of one balancer meet. */
    private static Path temporary() {
        String folder = System.getenv("TMPDIR");
        return Path.of(folder == null || folder.isEmpty() ? System.getProperty("java.io.tmpdir") : folder);
    }

    static String firstLine(Exception e) {
        boolean ours = e instanceof BadInput || e instanceof BadOperatorFile;
        return (ours ? e.getMessage() : e.toString()).lines().findFirst().orElse("");
    }

    /** Ends the process once nothing is left to be answered; asked again, it goes on with that. */
    private static void stop(Node node, PrintStream err) {
        err.println("stopping");
        node.stop().addListener(f -> {
            err.println("stopped");
            new Thread(() -> System.exit(0)).start();
        });
    }

    /** Signals by reflection: the compiler warns of the class, and warnings are errors here. */
    private static void on(String name, Runnable body) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object ours = Proxy.newProxyInstance(Main.class.getClassLoader(), new Class<?>[] {handler},
                (proxy, method, args) -> {
                    body.run();
                    return null;
                });
        signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance(name), ours);
    }
}
