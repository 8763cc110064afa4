package loadbalancer.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Callable;
import loadbalancer.faults.control.ControlCampaign;
import loadbalancer.faults.control.ControlSimulation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Simulates the distribution of configuration in virtual time with seeded faults. Runs on the
 * thread of the command line; the simulations run on separate threads.
 */
@Command(
        name = "control",
        mixinStandardHelpOptions = true,
        description =
                "Simulate a writer, three followers and their subscribers in virtual time with"
                    + " seeded faults. Prints the seeds that fail; exit code 1 if any seed failed.")
final class ControlFaultsCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "20",
            description = "number of seeds")
    private long seedCount;

    @Option(names = "--from", paramLabel = "S", defaultValue = "1", description = "the first seed")
    private long firstSeed;

    @Option(
            names = "--subscribers",
            paramLabel = "N",
            description = "subscribers in each simulation; drawn at random by default")
    private Integer subscribers;

    @Option(
            names = "--jobs",
            paramLabel = "N",
            defaultValue = "2",
            description = "number of concurrent simulations")
    private int maxParallel;

    @Option(
            names = "--trace",
            paramLabel = "FILE",
            description = "write a trace of all events to this file")
    private Path trace;

    @Option(names = "--counters", description = "print the event counters of each seed")
    private boolean isPrintingCounters;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (trace != null) {
            Files.deleteIfExists(trace);
        }
        long failed =
                new ControlCampaign(maxParallel, subscribers)
                        .run(firstSeed, seedCount, this::print);
        out().println(
                        "seeds "
                                + firstSeed
                                + ".."
                                + (firstSeed + seedCount - 1)
                                + ": "
                                + failed
                                + " failed");
        out().flush();
        return failed == 0 ? 0 : 1;
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private void print(ControlSimulation.Outcome outcome) {
        if (isPrintingCounters) {
            out().println("seed " + outcome.seed() + ": " + outcome.counters());
        }
        if (!outcome.violations().isEmpty()) {
            out().println("seed " + outcome.seed() + ": " + outcome.violations().get(0));
        }
        out().flush();
        if (trace != null) {
            append(outcome.trace());
        }
    }

    private void append(String text) {
        try {
            Files.writeString(trace, text, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
