package loadbalancer.cli;

import java.io.PrintWriter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** A command that requires a subcommand. Runs on the thread of the command line. */
abstract class CommandGroup implements Runnable {
    @Spec private CommandSpec spec;

    private final String subcommands;

    /**
     * Creates a command group.
     *
     * @param subcommands names of the subcommands, for the error message if none is given
     */
    CommandGroup(String subcommands) {
        this.subcommands = subcommands;
    }

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    PrintWriter err() {
        return spec.commandLine().getErr();
    }

    /** Returns an exception for an invalid command line; throwing it prints the usage help. */
    ParameterException usageError(String message) {
        return new ParameterException(spec.commandLine(), message);
    }

    @Override
    public void run() {
        throw usageError("missing command: " + subcommands);
    }
}
