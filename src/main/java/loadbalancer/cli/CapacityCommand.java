package loadbalancer.cli;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import loadbalancer.capacity.BadPage;
import loadbalancer.capacity.CapacityPage;
import loadbalancer.capacity.Catalogue;
import loadbalancer.capacity.Measurement;
import loadbalancer.capacity.Recorder;
import loadbalancer.capacity.SampleFile;
import loadbalancer.lab.scenario.BadScenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Measures the program's resource costs by size and verifies documented figures. Runs on the thread
 * of the command line.
 */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description =
                "Measure the program's resource costs by size, and verify the documented figures.")
final class CapacityCommand extends CommandGroup {
    CapacityCommand() {
        super("list, measure or check");
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "List all measurements.")
    int list() {
        Catalogue.all()
                .forEach(
                        (name, measurement) ->
                                out().printf("%-24s %s%n", name, measurement.description()));
        return 0;
    }

    @Command(
            name = "measure",
            mixinStandardHelpOptions = true,
            description =
                    "Run one measurement. Start it on an idle machine, in the program's folder,"
                            + " with the relevant flags of the run line in deploy/balancer.toml.")
    int measure(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--out", paramLabel = "FILE.csv", required = true) Path file,
            @Option(names = "--repetitions", paramLabel = "N", defaultValue = "3") int repetitions,
            @Option(names = "--append", description = "add repetitions to the samples in FILE.csv")
                    boolean append)
            throws Exception {
        Map<String, Measurement> all = Catalogue.all();
        if (!all.containsKey(name)) {
            throw usageError(
                    "unknown measurement "
                            + name
                            + "; expected one of "
                            + String.join(", ", all.keySet()));
        }
        if (repetitions < 1) {
            throw usageError("--repetitions: expected 1 or more");
        }
        Recorder recorder =
                new Recorder(append && Files.exists(file) ? SampleFile.read(file) : List.of());
        for (int i = 0; i < repetitions; i++) {
            recorder.nextRepetition();
            all.get(name).run(recorder);
        }
        SampleFile.write(file, environment(name), recorder.samples());
        out().println(recorder.samples().size() + " samples: " + file);
        return 0;
    }

    /** Describes the environment of the run, without anything that identifies the machine. */
    private static String environment(String name) {
        List<String> flags = ManagementFactory.getRuntimeMXBean().getInputArguments();
        return "load-balancer capacity measure "
                + name
                + "\nJava "
                + System.getProperty("java.version")
                + ", "
                + Runtime.getRuntime().availableProcessors()
                + " processors, flags "
                + flags.stream()
                        .filter(flag -> flag.startsWith("-X"))
                        .collect(Collectors.joining(" "));
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Recompute the derived figures of a page from the samples in a folder. Exit"
                            + " code 1 if a figure differs.")
    int check(
            @Parameters(paramLabel = "PAGE.md") Path page,
            @Option(names = "--samples", paramLabel = "DIR", defaultValue = "docs/capacity")
                    Path folder,
            @Option(names = "--all", description = "also print the figures that agree") boolean all)
            throws BadScenario, IOException {
        try {
            boolean doAllAgree = true;
            for (CapacityPage.Figure figure : CapacityPage.recompute(page, folder)) {
                doAllAgree &= figure.agrees();
                if (all || !figure.agrees()) {
                    print(figure);
                }
            }
            return doAllAgree ? 0 : 1;
        } catch (BadPage e) {
            throw new BadScenario(page.toString(), e.getMessage());
        }
    }

    private void print(CapacityPage.Figure figure) {
        out().printf(
                        Locale.ROOT,
                        "%s %s: the page has %s, the samples give %s%n",
                        figure.agrees() ? "good" : "BAD ",
                        figure.id(),
                        figure.printed(),
                        figure.recomputed());
    }
}
