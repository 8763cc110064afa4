package loadbalancer.cli;

import java.io.PrintWriter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** A command that does nothing itself, and has others below it. */
abstract class CommandGroup implements Runnable {
    @Spec CommandSpec spec;

    private final String commands;

    /** {@code commands}: those that it has, as they are named to one who names none. */
    CommandGroup(String commands) {
        this.commands = commands;
    }

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "missing command: " + commands);
    }
}
