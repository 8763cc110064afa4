package loadbalancer.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.spi.ToolProvider;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.logging.LogSettings;
import loadbalancer.logging.Logs;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * All sub-commands but {@code serve} and {@code adapter}, which the program takes straight. The
 * program finds this class as a service, so that a balancer never loads it.
 */
@Command(
        name = "load-balancer",
        mixinStandardHelpOptions = true,
        version = "load-balancer 0.1.0",
        description = "A load balancer, and a laboratory for it.",
        footer = {
            "",
            "  serve     run one balancer; NODE_CONFIG names its configuration",
            "  adapter   play the decision module on a simulator's wire, over standard input and"
                    + " output",
            "",
            "Exit codes: 0 done, 1 failed, 2 a wrong command line or file."
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
    @Spec private CommandSpec spec;

    @Option(
            names = "--log",
            paramLabel = "FORMAT",
            scope = CommandLine.ScopeType.INHERIT,
            defaultValue = "plain",
            description = "form of log lines: plain, text or json")
    private String log;

    @Option(
            names = "--log-level",
            paramLabel = "[PACKAGE=]LEVEL",
            scope = CommandLine.ScopeType.INHERIT,
            split = ",",
            description = "trace, debug, info, warn, error or off; for all or for a package")
    private List<String> levels = new ArrayList<>();

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
                        (e, line, parsed) -> {
                            boolean expected = e instanceof BadScenario;
                            line.getErr().println(expected ? e.getMessage() : "failed: " + e);
                            return expected ? 2 : 1;
                        })
                .setExecutionStrategy(this::execute)
                .execute(args);
    }

    private int execute(CommandLine.ParseResult parsed) {
        LoadBalancerCommand root = (LoadBalancerCommand) parsed.commandSpec().userObject();
        try {
            Logs.use(LogSettings.of(root.log, root.levels));
        } catch (IllegalArgumentException e) {
            throw new ParameterException(
                    parsed.commandSpec().commandLine(), "log settings: " + e.getMessage());
        }
        return new CommandLine.RunLast().execute(parsed);
    }

    @Override
    public int run(PrintStream out, PrintStream err, String... args) {
        return run(new PrintWriter(out, true), new PrintWriter(err, true), args);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "missing command");
    }
}
