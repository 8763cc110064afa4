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
 * The entry point. {@code serve} runs one balancer on sockets, {@code adapter} runs the policy for
 * the simulator, and any other command is a tool's.
 */
public final class Main {
    /** Property of the log format; the default format takes two lines for each message. */
    private static final String LOG_FORMAT = "java.util.logging.SimpleFormatter.format";

    private Main() {}

    /**
     * Runs until SIGTERM ({@code serve}) or the end of input ({@code adapter}).
     *
     * @throws Exception if the program can't be started with the full class path
     */
    public static void main(String[] args) throws Exception {
        if (path(System.getenv("NODE_OPERATOR")) != null && !FullClassPath.isComplete()) {
            if (isServe(args)) {
                // Handles signals until the Lifecycle in the other class loader does.
                new Lifecycle(System.err, System::exit).handleSignals(Signals::ofSystem);
            }
            // The features that the operator's file enables need further libraries.
            FullClassPath.runMain(args);
            return;
        }
        runOrExit(args, null);
    }

    /**
     * Runs {@code serve} with replaced clocks, sockets, files or policies. All libraries must be on
     * the class path.
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

    private static boolean isServe(String[] args) {
        return args.length == 1 && args[0].equals("serve");
    }

    /**
     * Runs one command. A process that serves ends through {@code exit} when it is stopped.
     *
     * @param environment null for the system's clocks, sockets and files, so that a balancer in
     *     production loads no class of an environment
     * @return the exit code: 0 once serving, if stopped before that, and at the end of the adapter;
     *     1 after a failure; 2 after an invalid command line
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
        if (!isServe(args)) {
            return FullClassPath.runTool(args, System.out, errors);
        }
        return startServing(configFile, environment, signals, new Lifecycle(errors, exit));
    }

    private static int startServing(
            String configFile, Environment environment, Signals signals, Lifecycle lifecycle) {
        EventLoopGroup group = null;
        try {
            lifecycle.handleSignals(signals);
            // Without this Netty loads SLF4J at every start, as it is on the class path.
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
            // Errors are caught, too: threads already started would keep the JVM running without
            // serving.
            if (group != null) {
                group.shutdownGracefully();
            }
            return lifecycle.failStart(firstLine(e));
        }
    }

    /** Returns the path of that name; null if the name is null or empty. */
    static Path path(String name) {
        return name == null || name.isEmpty() ? null : Path.of(name);
    }

    /**
     * Returns the first line of a failure's text, preceded by its type unless the message is
     * written for operators.
     */
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
