package loadbalancer.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import java.util.stream.Stream;
import loadbalancer.adapter.Adapter;
import loadbalancer.lab.Compare;
import loadbalancer.lab.Experiment;
import loadbalancer.lab.Reports;
import loadbalancer.lab.Runner;
import loadbalancer.lab.Speed;
import loadbalancer.lab.baseline.BalancerUnderTest;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.lab.scenario.Scenario;
import loadbalancer.lab.scenario.ScenarioKeys;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs experiments in the lab's simulator. Runs on the thread of the command line. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Run experiments in the simulator and evaluate their results.")
final class LabCommand extends CommandGroup {
    LabCommand() {
        super("run, compare, check, report, plot, list, keys, adapter or speed");
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Run an experiment, and write its results and a report to a folder.")
    int runExperiment(
            @Parameters(paramLabel = "EXPERIMENT.toml") Path file,
            @Option(
                            names = "--out",
                            paramLabel = "DIR",
                            description = "folder for the results; found/NAME by default")
                    Path folder,
            @Option(
                            names = "--threads",
                            paramLabel = "N",
                            description = "number of concurrent runs; one per core by default")
                    Integer threads,
            @Option(names = "--resume", description = "continue from results in DIR")
                    boolean resume)
            throws BadScenario, IOException, InterruptedException {
        Experiment experiment = Experiment.read(file);
        String name = file.getFileName().toString().replaceAll("\\.toml$", "");
        Path results = folder == null ? Path.of("found", name) : folder;
        if (threads != null && threads < 1) {
            throw usageError("--threads: expected 1 or more");
        }
        int threadCount = threads == null ? Runtime.getRuntime().availableProcessors() : threads;
        int runs =
                new Runner(experiment, results, threadCount)
                        .run(resume, progress(experiment.size()));
        out().println(runs + " runs; report: " + results.resolve("report.html"));
        return 0;
    }

    /** Returns a callback that updates a progress line on a terminal; silent without a terminal. */
    private static IntConsumer progress(int total) {
        if (System.console() == null) {
            return done -> {};
        }
        return done ->
                System.console()
                        .printf("\r%d of %d runs%s", done, total, done == total ? "\n" : "");
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description =
                    "Print the differences B - A, paired by seed. A and B are folders of results,"
                            + " or policies within the folder given with --in.")
    int compare(
            @Parameters(paramLabel = "A") String first,
            @Parameters(paramLabel = "B") String second,
            @Option(names = "--in", paramLabel = "DIR") Path folder,
            @Option(
                            names = "--figures",
                            split = ",",
                            paramLabel = "NAME",
                            defaultValue =
                                    "g,whole,worst_window,worst_class,worst_tenant,"
                                            + "amplification,waste")
                    List<String> figures)
            throws BadScenario {
        out().print(
                        folder == null
                                ? Compare.folders(Path.of(first), Path.of(second), figures)
                                : Compare.policies(folder, first, second, figures));
        out().flush();
        return 0;
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Validate a scenario or an experiment.")
    int check(@Parameters(paramLabel = "FILE") Path file) throws BadScenario {
        if (Scenario.toml(file).has("scenario")) {
            out().println(file + ": valid, " + Experiment.read(file).size() + " runs");
        } else {
            Scenario.read(file);
            out().println(file + ": valid");
        }
        return 0;
    }

    @Command(
            name = "report",
            mixinStandardHelpOptions = true,
            description =
                    "Write the report of a folder of results again; not all runs need be complete.")
    int report(@Parameters(paramLabel = "DIR") Path folder) throws BadScenario, IOException {
        out().println(Reports.write(folder));
        return 0;
    }

    @Command(
            name = "plot",
            mixinStandardHelpOptions = true,
            description = "Plot one figure of a folder of results over a swept key, as SVG.")
    int plot(
            @Parameters(paramLabel = "DIR") Path folder,
            @Option(names = "--x", paramLabel = "KEY", required = true) String sweptKey,
            @Option(names = "--figure", paramLabel = "NAME", defaultValue = "g") String figure,
            @Option(names = "--policies", paramLabel = "NAME", split = ",") List<String> policies,
            @Option(names = "--where", paramLabel = "KEY=VALUE") Map<String, String> where,
            @Option(names = "--out", paramLabel = "FILE.svg", required = true) Path file)
            throws BadScenario, IOException {
        Reports.plot(
                folder,
                sweptKey,
                figure,
                policies == null ? List.of() : policies,
                where == null ? Map.of() : where,
                file);
        out().println(file);
        return 0;
    }

    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "List scenarios, experiments and policies.")
    int list(@Parameters(paramLabel = "DIR", defaultValue = "lab") Path folder) throws IOException {
        if (Files.isDirectory(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.filter(file -> file.toString().endsWith(".toml"))
                        .sorted()
                        .forEach(file -> out().println(describe(file)));
            }
        }
        out().println("policies: " + String.join(", ", BalancerUnderTest.all().keySet()));
        return 0;
    }

    private static String describe(Path file) {
        try {
            if (!Scenario.toml(file).has("scenario")) {
                return file + ": a scenario";
            }
            return file
                    + ": "
                    + Scenario.toml(file).path("title").asText()
                    + ", "
                    + Experiment.read(file).size()
                    + " runs";
        } catch (BadScenario e) {
            return e.getMessage();
        }
    }

    @Command(
            name = "keys",
            mixinStandardHelpOptions = true,
            description = "Print all keys of a scenario in the format of the reference page.")
    int keys() {
        out().println(ScenarioKeys.reference());
        return 0;
    }

    @Command(
            name = "adapter",
            mixinStandardHelpOptions = true,
            description =
                    "Run a policy for the platform's simulator, over standard input and output.")
    int adapter(@Option(names = "--policy", required = true) String policy) {
        BalancerUnderTest balancer = balancer(policy);
        return Adapter.run(
                (settings, seed, out) -> balancer.create(settings, seed, out, null),
                System.in,
                System.out,
                System.err);
    }

    private BalancerUnderTest balancer(String policy) {
        if (!BalancerUnderTest.all().containsKey(policy)) {
            throw usageError(
                    "--policy: expected one of "
                            + String.join(", ", BalancerUnderTest.all().keySet()));
        }
        return BalancerUnderTest.all().get(policy);
    }

    @Command(
            name = "speed",
            mixinStandardHelpOptions = true,
            description =
                    "Measure how fast the simulator runs a scenario, and the balancers' share of"
                            + " the time.")
    int speed(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(names = "--policy", defaultValue = "random") String policy,
            @Option(names = "--seed", defaultValue = "1") long seed,
            @Option(names = "--times", defaultValue = "3") int times)
            throws BadScenario {
        balancer(policy);
        for (int i = 0; i < times; i++) {
            out().println(Speed.measure(Scenario.read(file), policy, seed));
        }
        return 0;
    }
}
