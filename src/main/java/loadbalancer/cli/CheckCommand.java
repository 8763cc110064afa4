package loadbalancer.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.node.ConfigCheck;
import loadbalancer.settings.InvalidInputException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Validates a balancer's configuration without starting a balancer. Runs on the thread of the
 * command line.
 */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Validate a balancer's configuration; print a summary of it, or the error.")
final class CheckCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() throws BadScenario {
        try {
            spec.commandLine().getOut().println(file + ": " + ConfigCheck.describe(file));
            return 0;
        } catch (InvalidInputException e) {
            throw new BadScenario(file.toString(), e.getMessage());
        }
    }
}
