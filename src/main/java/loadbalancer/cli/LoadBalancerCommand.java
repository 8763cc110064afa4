package loadbalancer.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.spi.ToolProvider;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.logging.LogConfigurator;
import loadbalancer.logging.LogSettings;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Root command, with all subcommands except {@code serve} and {@code adapter}, which the main class
 * handles. It is looked up as a {@link ToolProvider} service, so that a running balancer does not
 * load it. A command runs on the calling thread.
 */
@Command(
        name = "load-balancer",
        mixinStandardHelpOptions = true,
        version = "load-balancer 0.1.0",
        description = "A load balancer, and a laboratory to simulate it.",
        footer = {
            "",
            "  serve     run one balancer; NODE_CONFIG names its configuration",
            "  adapter   run the load-balancing policy for the platform's simulator, over standard"
                    + " input and output",
            "",
            "Exit codes: 0 success, 1 failure, 2 invalid command line or file."
        },
        subcommands = {
            LabCommand.class,
            FaultsCommand.class,
            CheckCommand.class,
            StateCommand.class,
            ControlCommand.class,
            CapacityCommand.class,
            AutoComplete.GenerateCompletion.class,
            CommandLine.HelpCommand.class
        })
public final class LoadBalancerCommand implements ToolProvider, Runnable {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_INVALID_INPUT = 2;

    @Spec private CommandSpec spec;

    @Option(
            names = "--log",
            paramLabel = "FORMAT",
            scope = CommandLine.ScopeType.INHERIT,
            defaultValue = "plain",
            description = "format of log lines: plain, text or json")
    private String logFormat;

    @Option(
            names = "--log-level",
            paramLabel = "[PACKAGE=]LEVEL",
            scope = CommandLine.ScopeType.INHERIT,
            split = ",",
            description =
                    "trace, debug, info, warn, error or off; for all loggers or for a package")
    private List<String> logLevels = new ArrayList<>();

    @Override
    public String name() {
        return "load-balancer";
    }

    @Override
    public int run(PrintWriter out, PrintWriter err, String... args) {
        return new CommandLine(new LoadBalancerCommand())
                .setOut(out)
                .setErr(err)
                .setExecutionExceptionHandler(
                        (exception, commandLine, parsed) -> printError(exception, commandLine))
                .setExecutionStrategy(this::execute)
                .execute(args);
    }

    @Override
    public int run(PrintStream out, PrintStream err, String... args) {
        return run(new PrintWriter(out, true), new PrintWriter(err, true), args);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "missing command");
    }

    private static int printError(Exception exception, CommandLine commandLine) {
        boolean isInvalidInput = exception instanceof BadScenario;
        commandLine
                .getErr()
                .println(isInvalidInput ? exception.getMessage() : "failed: " + exception);
        return isInvalidInput ? EXIT_INVALID_INPUT : EXIT_FAILED;
    }

    private int execute(CommandLine.ParseResult parsed) {
        LoadBalancerCommand root = (LoadBalancerCommand) parsed.commandSpec().userObject();
        try {
            LogConfigurator.apply(LogSettings.of(root.logFormat, root.logLevels));
        } catch (IllegalArgumentException e) {
            throw new ParameterException(
                    parsed.commandSpec().commandLine(), "log settings: " + e.getMessage());
        }
        return new CommandLine.RunLast().execute(parsed);
    }
}
