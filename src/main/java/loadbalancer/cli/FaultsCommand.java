package loadbalancer.cli;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import loadbalancer.faults.Campaign;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.logging.LogConfigurator;
import loadbalancer.logging.LogSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;

/**
 * Runs the balancer's network code in virtual time with seeded faults. Runs on the thread of the
 * command line; the scenarios run on separate threads.
 */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        description =
                "Run the real balancer in virtual time with scripted peers and seeded faults.",
        subcommands = {ControlFaultsCommand.class, ControlScaleCommand.class})
final class FaultsCommand extends CommandGroup {
    /** Number of seeds that a soak runs between two checks of its duration. */
    private static final long SOAK_BATCH_SEEDS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    static {
        // Otherwise Netty selects SLF4J and logs that it did.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    FaultsCommand() {
        super("run, replay, show, control or control-scale");
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Run a range of seeds. Each failing scenario is minimized and written to a"
                            + " file. Exit code 1 if any seed failed.")
    int runSeeds(
            @Option(names = "--seeds", paramLabel = "A..B", defaultValue = "1..1000") String seeds,
            @Option(
                            names = "--jobs",
                            paramLabel = "N",
                            description = "number of concurrent scenarios; one per core by default")
                    Integer jobs,
            @Option(
                            names = "--soak",
                            paramLabel = "MINUTES",
                            description = "continue with later seeds until this time has passed")
                    Long minutes,
            @Option(names = "--out", paramLabel = "DIR", defaultValue = "found/faults") Path folder)
            throws IOException, InterruptedException {
        SeedRange range = range(seeds);
        disableLogging();
        int threadCount =
                jobs == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, jobs);
        Campaign campaign = new Campaign(folder, threadCount);
        Instant start = Instant.now();
        long failures = 0;
        do {
            Campaign.Summary summary =
                    campaign.run(range.first(), range.last(), this::printFailure);
            failures += summary.failures().size();
            printSummary(range, summary, Duration.between(start, Instant.now()));
            range = new SeedRange(range.last() + 1, range.last() + SOAK_BATCH_SEEDS);
        } while (minutes != null && Duration.between(start, Instant.now()).toMinutes() < minutes);
        return failures == 0 ? 0 : 1;
    }

    /** Range of seeds, inclusive at both ends. */
    private record SeedRange(long first, long last) {}

    private SeedRange range(String seeds) {
        try {
            String[] ends = seeds.split("\\.\\.");
            long first = Long.parseLong(ends[0]);
            long last = Long.parseLong(ends[ends.length - 1]);
            if (ends.length <= 2 && first <= last) {
                return new SeedRange(first, last);
            }
        } catch (NumberFormatException e) {
            throw invalidRange(seeds);
        }
        throw invalidRange(seeds);
    }

    private ParameterException invalidRange(String seeds) {
        return usageError("--seeds: expected A..B, got " + seeds);
    }

    private void printFailure(Campaign.Failure failure) {
        out().println(
                        "seed "
                                + failure.seed()
                                + ": "
                                + failure.breach()
                                + " ("
                                + failure.faults()
                                + " faults, "
                                + failure.file()
                                + ")");
        out().flush();
    }

    private void printSummary(SeedRange range, Campaign.Summary summary, Duration elapsed) {
        out().println(
                        "seeds "
                                + range.first()
                                + ".."
                                + range.last()
                                + ": "
                                + summary.failures().size()
                                + " failed; "
                                + summary.requests()
                                + " requests, "
                                + summary.answered()
                                + " answered, "
                                + summary.steps()
                                + " time steps, "
                                + elapsed.toMillis() / MILLIS_PER_SECOND
                                + " s");
    }

    /** Disables logging, since thousands of balancers are simulated; a replay keeps it enabled. */
    private static void disableLogging() {
        LogConfigurator.apply(new LogSettings(LogSettings.Format.PLAIN, "off", Map.of()));
    }

    @Command(
            name = "replay",
            mixinStandardHelpOptions = true,
            description = "Run a scenario from a file again. Exit code 1 if it still fails.")
    int replay(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--trace", description = "print a trace of all events") boolean trace)
            throws BadScenario {
        try {
            return printReplay(Campaign.replay(file), trace);
        } catch (IOException e) {
            throw new BadScenario(
                    file.toString(),
                    "expected a scenario written by \"faults run\": "
                            + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Print the scenario of a seed and run it.")
    int show(
            @Parameters(paramLabel = "SEED") long seed,
            @Option(names = "--trace", description = "print a trace of all events") boolean trace)
            throws IOException {
        out().print(Campaign.plan(seed));
        return printReplay(Campaign.replay(seed), trace);
    }

    private int printReplay(Campaign.Replay replay, boolean trace) {
        if (trace) {
            out().print(replay.trace());
        }
        replay.breaches().forEach(out()::println);
        out().println(
                        replay.requests()
                                + " requests, "
                                + replay.answered()
                                + " answered, "
                                + replay.breaches().size()
                                + " breaches");
        out().flush();
        return replay.breaches().isEmpty() ? 0 : 1;
    }
}
