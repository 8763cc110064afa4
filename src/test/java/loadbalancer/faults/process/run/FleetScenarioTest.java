package loadbalancer.faults.process.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import loadbalancer.faults.process.peer.Upstream;
import loadbalancer.faults.process.plan.Plan;
import loadbalancer.faults.process.plan.Step.Kind;
import loadbalancer.faults.process.program.Program;
import loadbalancer.faults.process.run.Verdict.Outcome;
import loadbalancer.faults.process.topology.Topology;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Real processes of the program among real faults. What a failure leaves is under target/rig. */
class FleetScenarioTest {
    static final Program PROGRAM = Program.ofClassPath(System.getProperty("java.class.path"));

    static Path folder(String name) {
        return Path.of("target", "rig", name + "-" + ProcessHandle.current().pid())
                .toAbsolutePath();
    }

    static Verdict play(Plan plan, Path folder, Consumer<Scene> meanwhile) {
        return Run.play(plan, PROGRAM, Topology.OperatorText.NONE, folder, meanwhile);
    }

    @BeforeAll
    static void quiet() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    @Test
    void fiveBalancersKeepTheirPromisesAmongFaults() {
        Plan plan =
                Plan.quiet(19, 5, 6, 80, 6_500)
                        .with(500, Kind.KILL, 0, 500)
                        .with(1_000, Kind.STOP, 1, 2_000)
                        .with(1_500, Kind.HAND_OVER, 2, 0)
                        .with(2_000, Kind.CUT_HALF, 3, 2_500)
                        .with(500, Kind.UPSTREAM_DRAINS, 5, 5_000)
                        .with(3_000, Kind.DISCOVERY_DOWN, 0, 2_500);
        Verdict verdict = play(plan, folder("five"), scene -> {});
        assertEquals(List.of(), verdict.faults(), () -> "kept in " + verdict.kept());
        assertEquals(Outcome.KEPT, verdict.outcome());
        assertTrue(
                verdict.served() > 100, "only " + verdict.served() + " of " + verdict.requests());
    }

    /** What goes wrong in the rig itself must not be laid at the program's door. */
    @Test
    void standInThatIsDeadIsTheRigsFailure() {
        Plan plan = Plan.quiet(20, 1, 2, 20, 500);
        Verdict verdict =
                play(plan, folder("dead"), scene -> scene.upstreams().forEach(Upstream::die));
        assertEquals(Outcome.RIG_FAILED, verdict.outcome(), () -> verdict.faults().toString());
        assertTrue(
                verdict.faults().get(0).contains("upstream 0"), () -> verdict.faults().toString());
        assertTrue(Files.exists(verdict.kept().resolve("plan.txt")));
    }
}
