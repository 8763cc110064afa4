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
 * command line; scenarios run on threads of their own.
 */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        description =
                "Play the real balancer in virtual time among scripted peers and seeded faults.",
        subcommands = {ControlFaultsCommand.class, ControlScaleCommand.class})
final class FaultsCommand extends CommandGroup {
    /** Seeds between two checks of a soak's end. */
    private static final long SOAK_BATCH_SEEDS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    static {
        // Netty would otherwise choose SLF4J and log that it did.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    FaultsCommand() {
        super("run, replay, show, control or control-scale");
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Play a range of seeds. Each failure is shrunk and written to a file. Exit code"
                            + " 1 if there was one.")
    int play(
            @Option(names = "--seeds", paramLabel = "A..B", defaultValue = "1..1000") String seeds,
            @Option(
                            names = "--jobs",
                            paramLabel = "N",
                            description = "scenarios at a time; one for each core otherwise")
                    Integer jobs,
            @Option(
                            names = "--soak",
                            paramLabel = "MINUTES",
                            description = "go on with the seeds behind these for so long")
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

    /** Seeds from the first to the last, both included. */
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
                                + " instants, "
                                + elapsed.toMillis() / MILLIS_PER_SECOND
                                + " s");
    }

    /** Lines of thousands of simulated balancers; a replay logs them. */
    private static void disableLogging() {
        LogConfigurator.apply(new LogSettings(LogSettings.Format.PLAIN, "off", Map.of()));
    }

    @Command(
            name = "replay",
            mixinStandardHelpOptions = true,
            description = "Play a scenario from a file once more. Exit code 1 if it still fails.")
    int replay(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--trace", description = "print all that happened") boolean trace)
            throws BadScenario {
        try {
            return printReplay(Campaign.replay(file), trace);
        } catch (IOException e) {
            throw new BadScenario(
                    file.toString(),
                    "expected a scenario that faults run has written: "
                            + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Print the scenario of a seed, and play it.")
    int show(
            @Parameters(paramLabel = "SEED") long seed,
            @Option(names = "--trace", description = "print all that happened") boolean trace)
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
