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
 * Checks a balancer's configuration without starting one. Runs on the thread of the command line.
 */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Say what is wrong with a balancer's configuration, or what it says.")
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
