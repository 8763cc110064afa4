package loadbalancer.cli;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import loadbalancer.faults.Campaign;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.logging.LogSettings;
import loadbalancer.logging.Logs;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;

/** The balancer's network code in virtual time, among faults drawn from seeds. */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        description =
                "Play the real balancer in virtual time among scripted peers and seeded faults.",
        subcommands = {ControlFaultsCommand.class, ControlScaleCommand.class})
final class FaultsCommand extends CommandGroup {
    /** So many seeds are played between two looks at the clock of a soak. */
    private static final long BATCH = 1_000;

    static {
        // Netty would take SLF4J, and say so line by line.
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
        long[] range = range(seeds);
        quiet();
        int used = jobs == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, jobs);
        Campaign campaign = new Campaign(folder, used);
        Instant begin = Instant.now();
        long failures = 0;
        long from = range[0];
        long to = range[1];
        do {
            Campaign.Summary s =
                    campaign.run(
                            from,
                            to,
                            f -> {
                                out().println(
                                                "seed "
                                                        + f.seed()
                                                        + ": "
                                                        + f.breach()
                                                        + " ("
                                                        + f.faults()
                                                        + " faults, "
                                                        + f.file()
                                                        + ")");
                                out().flush();
                            });
            failures += s.failures().size();
            out().println(
                            "seeds "
                                    + from
                                    + ".."
                                    + to
                                    + ": "
                                    + s.failures().size()
                                    + " failed; "
                                    + s.requests()
                                    + " requests, "
                                    + s.answered()
                                    + " answered, "
                                    + s.steps()
                                    + " instants, "
                                    + Duration.between(begin, Instant.now()).toMillis() / 1000.0
                                    + " s");
            from = to + 1;
            to = from + BATCH - 1;
        } while (minutes != null && Duration.between(begin, Instant.now()).toMinutes() < minutes);
        return failures == 0 ? 0 : 1;
    }

    private long[] range(String seeds) {
        try {
            String[] ends = seeds.split("\\.\\.");
            long from = Long.parseLong(ends[0]);
            long to = Long.parseLong(ends[ends.length - 1]);
            if (ends.length <= 2 && from <= to) {
                return new long[] {from, to};
            }
        } catch (NumberFormatException e) {
            // the one complaint below serves for this too
        }
        throw new ParameterException(spec.commandLine(), "--seeds: expected A..B, got " + seeds);
    }

    /** Thousands of balancers would fill the log; what they say belongs to a replay. */
    private static void quiet() {
        Logs.use(new LogSettings(LogSettings.Format.PLAIN, "off", java.util.Map.of()));
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
            return tell(Campaign.replay(file), trace);
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
        return tell(Campaign.replay(seed), trace);
    }

    private int tell(Campaign.Replay replay, boolean trace) {
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
