package loadbalancer.cli;

import java.io.PrintWriter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** A command that only has subcommands. Runs on the thread of the command line. */
abstract class CommandGroup implements Runnable {
    @Spec private CommandSpec spec;

    private final String subcommands;

    /**
     * Makes a group.
     *
     * @param subcommands their names, for the error message where none is given
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

    /** An error in the command line, of which usage help is printed. */
    ParameterException usageError(String message) {
        return new ParameterException(spec.commandLine(), message);
    }

    @Override
    public void run() {
        throw usageError("missing command: " + subcommands);
    }
}
