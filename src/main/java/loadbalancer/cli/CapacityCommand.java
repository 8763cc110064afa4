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
 * Measures the program's costs by size and checks the documented figures. Runs on the thread of the
 * command line.
 */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description =
                "Measure what the program costs by size, and check the page that is made of it.")
final class CapacityCommand extends CommandGroup {
    CapacityCommand() {
        super("list, measure or check");
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Name all measurements.")
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
                    "Measure one of them; run it with the flags of the run line in"
                            + " deploy/balancer.toml that matter, on an idle machine, from the"
                            + " program's folder.")
    int measure(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--out", paramLabel = "FILE.csv", required = true) Path file,
            @Option(names = "--repetitions", paramLabel = "N", defaultValue = "3") int repetitions,
            @Option(
                            names = "--append",
                            description = "add repetitions to those that FILE.csv has already")
                    boolean append)
            throws Exception {
        Map<String, Measurement> all = Catalogue.all();
        if (!all.containsKey(name)) {
            throw usageError(
                    "no measurement has the name "
                            + name
                            + "; there are "
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

    /** The run's environment for the sample file; without anything that identifies the machine. */
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
                    "Recompute a page's derived figures from the samples in a folder. Exit code 1"
                            + " if one differs.")
    int check(
            @Parameters(paramLabel = "PAGE.md") Path page,
            @Option(names = "--samples", paramLabel = "DIR", defaultValue = "docs/capacity")
                    Path folder,
            @Option(names = "--all", description = "print those that agree, too") boolean all)
            throws BadScenario, IOException {
        try {
            boolean hasOnlyAgreeing = true;
            for (CapacityPage.Figure figure : CapacityPage.recompute(page, folder)) {
                hasOnlyAgreeing &= figure.agrees();
                if (all || !figure.agrees()) {
                    print(figure);
                }
            }
            return hasOnlyAgreeing ? 0 : 1;
        } catch (BadPage e) {
            throw new BadScenario(page.toString(), e.getMessage());
        }
    }

    private void print(CapacityPage.Figure figure) {
        out().printf(
                        Locale.ROOT,
                        "%s %s: the page says %s, the samples %s%n",
                        figure.agrees() ? "good" : "BAD ",
                        figure.id(),
                        figure.printed(),
                        figure.recomputed());
    }
}
