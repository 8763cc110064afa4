package loadbalancer.faults.process.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import loadbalancer.faults.process.RigFailure;
import loadbalancer.faults.process.plan.Plan;
import loadbalancer.faults.process.plan.Step.Kind;
import loadbalancer.faults.process.program.BalancerInstance;
import loadbalancer.faults.process.program.Child;
import loadbalancer.faults.process.program.Odds;
import loadbalancer.faults.process.run.Verdict.Outcome;
import loadbalancer.snapshot.SnapshotFormat;
import org.junit.jupiter.api.Test;

/** A process that the rig puts out of order is so, and only one that was started for it. */
class SkewedTest {
    private static final long HOUR_MS = 3_600_000;

    private static void await(Callable<Boolean> condition) {
        try {
            for (int i = 0; !condition.call(); i++) {
                assertTrue(i < 1_500, "has not come to pass");
                Thread.sleep(20);
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static boolean says(Path folder, BalancerInstance instance, String line)
            throws IOException {
        Path log = folder.resolve("b0").resolve(instance.current().name() + ".log");
        return Files.readString(log).contains(line);
    }

    /** By how much the clock is off by which the process has signed what it last kept. */
    private static long offset(Path folder) throws Exception {
        try (Stream<Path> files = Files.list(folder.resolve("b0/state"))) {
            Path last = files.filter(f -> f.toString().endsWith(".state")).findFirst().orElse(null);
            return last == null
                    ? 0
                    : SnapshotFormat.read(Files.readAllBytes(last)).savedAtMillis()
                            - System.currentTimeMillis();
        } catch (IOException e) {
            return 0; // just being replaced
        }
    }

    @Test
    void clockDiskAndProcessGoWrongByOrder() {
        // The step is there to have balancer 0 started as one that can be put out of order.
        Plan plan = Plan.quiet(21, 2, 2, 40, 0).with(0, Kind.CLOCK, 0, 1);
        Path folder = FleetScenarioTest.folder("skewed");
        Verdict verdict =
                FleetScenarioTest.play(
                        plan,
                        folder,
                        scene -> {
                            BalancerInstance instance = scene.instances().get(0);
                            instance.odds(Odds.clock(HOUR_MS));
                            await(() -> offset(folder) > HOUR_MS / 2);
                            instance.odds(Odds.disk(true));
                            await(() -> says(folder, instance, "can't keep what it knows"));
                            instance.odds(Odds.NONE);
                            await(() -> says(folder, instance, "keeps what it knows again"));
                            await(() -> offset(folder) < HOUR_MS / 2);
                            instance.failedHandOver();
                            Child crashes = instance.current();
                            instance.crashAfter(1);
                            assertNotEquals(crashes, instance.current());
                            assertThrows(
                                    RigFailure.class,
                                    () -> scene.instances().get(1).odds(Odds.disk(true)));
                        });
        assertEquals(List.of(), verdict.faults(), () -> "kept in " + verdict.kept());
    }

    @Test
    void processThatFailsOnItsOwnIsFoundOut() {
        Plan plan = Plan.quiet(22, 1, 2, 40, 500).with(0, Kind.CLOCK, 0, 1);
        Path folder = FleetScenarioTest.folder("failing");
        Verdict verdict =
                FleetScenarioTest.play(
                        plan,
                        folder,
                        scene -> {
                            try {
                                Odds.crashingAfter(1).write(folder.resolve("b0/odds"));
                                scene.instances().get(0).current().awaitEnd();
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        assertEquals(Outcome.BROKEN, verdict.outcome(), () -> verdict.faults().toString());
        assertEquals("b0.0 ended by itself with code 70", verdict.faults().get(0));
    }
}
