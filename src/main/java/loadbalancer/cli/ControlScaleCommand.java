package loadbalancer.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.faults.control.scale.FaultScript;
import loadbalancer.faults.control.scale.Measurement;
import loadbalancer.faults.control.scale.ScaleOptions;
import loadbalancer.faults.control.scale.ScaleProgram;
import loadbalancer.faults.control.scale.ScaleResult;
import loadbalancer.faults.control.scale.ScaleRun;
import loadbalancer.faults.control.scale.StateSize;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Measures the distribution of configuration between real processes on this machine. Runs on the
 * thread of the command line.
 */
@Command(
        name = "control-scale",
        mixinStandardHelpOptions = true,
        showDefaultValues = true,
        description =
                "Run a writer, three followers and many subscribers without a request path as real"
                    + " processes, make changes at a rate, inject faults, and measure. Exit code 1"
                    + " if a condition did not hold.")
final class ControlScaleCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(names = "--subscribers", paramLabel = "N", defaultValue = "50")
    private int subscribers;

    @Option(names = "--services", paramLabel = "N", defaultValue = "590")
    private int services;

    @Option(names = "--upstreams", paramLabel = "N", defaultValue = "9100")
    private int upstreams;

    @Option(names = "--routes", paramLabel = "N", defaultValue = "8500")
    private int routes;

    @Option(names = "--tenants", paramLabel = "N", defaultValue = "54000")
    private int tenants;

    @Option(
            names = "--scope-services",
            paramLabel = "N",
            defaultValue = "0",
            description = "services that each subscriber selects at random; 0 for all")
    private int scopeServices;

    @Option(names = "--changes", paramLabel = "N", defaultValue = "910")
    private int changes;

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "5",
            description = "changes per second")
    private double changesPerSecond;

    @Option(
            names = "--faults",
            paramLabel = "EXTENT",
            defaultValue = "NONE",
            description = "${COMPLETION-CANDIDATES}; faults to inject after the measured changes")
    private FaultScript.Extent faults;

    @Option(
            names = "--fault-times",
            paramLabel = "FACTOR",
            defaultValue = "1",
            description = "factor of the durations of faults")
    private double faultTimeFactor;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1")
    private long seed;

    @Option(
            names = "--repetition",
            paramLabel = "N",
            defaultValue = "1",
            description = "repetition number in the rows")
    private int repetition;

    @Option(names = "--control-heap", paramLabel = "MB", defaultValue = "512")
    private int controlHeapMegabytes;

    @Option(
            names = "--hollow-heap",
            paramLabel = "MB",
            defaultValue = "1400",
            description = "heap of each subscriber process")
    private int subscriberHeapMegabytes;

    @Option(
            names = "--per-process",
            paramLabel = "N",
            defaultValue = "172",
            description = "maximum number of subscribers per process")
    private int maxSubscribersPerProcess;

    @Option(names = "--deadline", paramLabel = "SECONDS", defaultValue = "1200")
    private long deadlineSeconds;

    @Option(
            names = "--jar",
            paramLabel = "FILE",
            defaultValue = "target/load-balancer.jar",
            description = "the built program; its lib folder must be next to it")
    private Path jar;

    @Option(
            names = "--folder",
            paramLabel = "DIR",
            defaultValue = "target/control-scale",
            description = "folder for files and logs, with a subfolder for each run")
    private Path folder;

    @Option(names = "--csv", paramLabel = "FILE", description = "append rows to this file")
    private Path csv;

    @Override
    public Integer call() throws IOException {
        ScaleOptions options = options();
        ScaleResult result = ScaleRun.run(options);
        print(result);
        if (csv != null) {
            append(options, result);
        }
        return result.violations().isEmpty() ? 0 : 1;
    }

    private ScaleOptions options() {
        Path runFolder = folder.toAbsolutePath().resolve("run-" + ProcessHandle.current().pid());
        return new ScaleOptions(
                ScaleProgram.ofJar(jar),
                runFolder,
                subscribers,
                new StateSize(services, upstreams, routes, tenants),
                scopeServices,
                changes,
                changesPerSecond,
                seed,
                repetition,
                faults,
                faultTimeFactor,
                new ScaleOptions.Limits(
                        controlHeapMegabytes,
                        subscriberHeapMegabytes,
                        maxSubscribersPerProcess,
                        deadlineSeconds));
    }

    private void print(ScaleResult result) {
        PrintWriter out = spec.commandLine().getOut();
        for (Measurement measurement : result.measurements()) {
            out.println(
                    String.format(
                            Locale.ROOT,
                            "%-40s %14.3f %s",
                            measurement.name(),
                            measurement.value(),
                            measurement.unit()));
        }
        result.violations().forEach(violation -> out.println("VIOLATED: " + violation));
        out.println(
                result.violations().isEmpty() ? "all conditions held" : "conditions were violated");
        out.flush();
    }

    private void append(ScaleOptions options, ScaleResult result) throws IOException {
        List<String> lines = new ArrayList<>();
        if (!Files.exists(csv)) {
            lines.add(Measurement.HEADER);
        }
        result.measurements().forEach(measurement -> lines.add(measurement.row(options)));
        Files.write(csv, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }
}
