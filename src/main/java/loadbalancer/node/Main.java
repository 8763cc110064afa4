package loadbalancer.node;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.function.IntConsumer;
import loadbalancer.adapter.Adapter;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.InvalidOperatorFileException;
import loadbalancer.transport.MillisecondIoHandler;

/**
 * Command line: {@code serve} runs one balancer on sockets, {@code adapter} the module on the
 * simulator; all else goes to the tools.
 */
public final class Main {
    /**
     * Property of the log's format; set to one line for each message, where the default has two.
     */
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
     * Serves as {@code serve} does, in another environment; all libraries must be on the class
     * path.
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
            ServeCommand.start(configPath, operatorPath, group.next(), environment, lifecycle);
            return 0;
        } catch (Exception | Error e) {
            // An Error, too: threads already started would keep the JVM and serve nobody.
            if (group != null) {
                group.shutdownGracefully();
            }
            return lifecycle.failStart(firstLine(e));
        }
    }

    /** The path; null if the name is null or empty. */
    static Path path(String name) {
        return name == null || name.isEmpty() ? null : Path.of(name);
    }

    /** First line of a failure's text, with the type unless the text is written for operators. */
    static String firstLine(Throwable failure) {
        boolean isForOperators =
                failure instanceof InvalidInputException
                        || failure instanceof InvalidOperatorFileException;
        return (isForOperators ? failure.getMessage() : failure.toString())
                .lines()
                .findFirst()
                .orElse("");
    }
}
