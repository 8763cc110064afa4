package loadbalancer.faults.process;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import loadbalancer.faults.process.plan.BadPlan;
import loadbalancer.faults.process.plan.Plan;
import loadbalancer.faults.process.program.Program;
import loadbalancer.faults.process.run.Run;
import loadbalancer.faults.process.run.Verdict;
import loadbalancer.faults.process.shim.ShimLibrary;
import loadbalancer.faults.process.topology.Topology;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/** Long runs with real processes; no part of the product's command line. */
@Command(
        name = "rig",
        mixinStandardHelpOptions = true,
        description =
                "Play seeds with real processes. Exit code 1 if the program broke a rule, 3 if the"
                        + " rig failed.")
public final class Rig implements Callable<Integer> {
    private static final int FAILED = 3;

    @Option(names = "--seeds", paramLabel = "A..B", description = "one after the other")
    private String seeds = "1..1";

    @Option(names = "--balancers", paramLabel = "N")
    private int balancers = 5;

    @Option(
            names = "--soak",
            description = "two or three troubles at a time, also below the program")
    private boolean soak;

    @Option(names = "--plan", paramLabel = "FILE", description = "play this in place of seeds")
    private Path plan;

    @Option(
            names = "--jar",
            paramLabel = "FILE",
            description = "the built program, lib beside it; without " + "it the rig's own classes")
    private Path jar;

    @Option(names = "--out", paramLabel = "DIR", description = "where failures are kept")
    private Path out = Path.of("target", "rig");

    private int kept;
    private int broken;
    private int voided;
    private int failed;

    private Rig() {}

    /** Plays, and ends with the exit code. */
    public static void main(String[] args) {
        // Netty would take SLF4J, and say so line by line.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        System.exit(new CommandLine(new Rig()).execute(args));
    }

    @Override
    public Integer call() throws IOException {
        if (plan != null) {
            try {
                return play(Plan.of(Files.readString(plan)));
            } catch (BadPlan e) {
                throw new ParameterException(new CommandLine(this), plan + ": " + e.getMessage());
            }
        }
        if (soak && ShimLibrary.get().isEmpty()) {
            System.out.println("no compiler: wall clocks and failing system calls are not run");
        }
        int worst = 0;
        long[] range = range();
        for (long seed = range[0]; seed <= range[1]; seed++) {
            worst =
                    Math.max(
                            worst,
                            play(soak ? Plan.soak(seed, balancers) : Plan.drawn(seed, balancers)));
        }
        System.out.println(
                "kept "
                        + kept
                        + ", broken "
                        + broken
                        + ", void "
                        + voided
                        + ", rig failed "
                        + failed);
        return worst;
    }

    private long[] range() {
        try {
            String[] ends = seeds.split("\\.\\.");
            long[] range = {Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1])};
            if (ends.length <= 2 && range[0] <= range[1]) {
                return range;
            }
        } catch (NumberFormatException e) {
            // the one complaint below serves for this too
        }
        throw new ParameterException(new CommandLine(this), "--seeds: expected A..B, got " + seeds);
    }

    private int play(Plan next) {
        Program program =
                jar == null
                        ? Program.ofClassPath(System.getProperty("java.class.path"))
                        : Program.ofJar(jar.toAbsolutePath());
        Path folder =
                out.toAbsolutePath()
                        .resolve("seed-" + next.seed() + "-" + ProcessHandle.current().pid());
        Verdict verdict = Run.play(next, program, Topology.OperatorText.NONE, folder);
        boolean isVoid = verdict.isLate() && verdict.outcome() == Verdict.Outcome.KEPT;
        System.out.println(
                "seed "
                        + next.seed()
                        + ": "
                        + (isVoid ? "VOID" : verdict.outcome())
                        + ", "
                        + next.steps().size()
                        + " faults, "
                        + verdict.served()
                        + " of "
                        + verdict.requests()
                        + " requests served"
                        + (verdict.kept() == null ? "" : ", kept in " + verdict.kept()));
        verdict.faults().stream().limit(10).forEach(line -> System.out.println("  " + line));
        return count(verdict.outcome(), isVoid);
    }

    private int count(Verdict.Outcome outcome, boolean isVoid) {
        if (isVoid) {
            voided++;
            return 0;
        }
        switch (outcome) {
            case KEPT -> kept++;
            case BROKEN -> broken++;
            default -> failed++;
        }
        return switch (outcome) {
            case KEPT -> 0;
            case BROKEN -> 1;
            case RIG_FAILED -> FAILED;
        };
    }
}
