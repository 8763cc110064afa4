package loadbalancer.faults.process.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Limits;
import loadbalancer.control.model.RequestClass;
import loadbalancer.control.model.RequestClass.DeduplicationScope;
import loadbalancer.control.model.RequestClass.RetrySafety;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceKind;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Service;
import loadbalancer.control.model.Tenant;
import loadbalancer.faults.process.Broken;
import loadbalancer.faults.process.RigFailure;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.plan.Plan;
import loadbalancer.faults.process.program.BalancerInstance;
import loadbalancer.faults.process.program.Child;
import loadbalancer.faults.process.program.ControlInstance;
import loadbalancer.faults.process.program.Program;
import loadbalancer.faults.process.program.Reaper;
import loadbalancer.faults.process.run.Verdict.Outcome;
import loadbalancer.faults.process.topology.Topology;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Real balancers under light traffic while control changes their settings, and a control machine is
 * killed and comes back. More by hand: {@code -Dcontrol.balancers=5 -Dcontrol.changes=100}.
 */
class ControlScenarioTest {
    private static final Program PROGRAM = FleetScenarioTest.PROGRAM;
    private static final String SERVICE = "shop";
    private static final int BALANCERS = Integer.getInteger("control.balancers", 3);
    private static final int CHANGES = Integer.getInteger("control.changes", 9);
    private static final long LOOK_MS = 5;

    /** Within this time a process has handled its signal. */
    private static final long SIGNAL_MS = 300;

    private static final long BOUND_MS = 8_000;

    private final Path changesFolder = FleetScenarioTest.folder("control-changes");
    private final Path stopFolder = FleetScenarioTest.folder("control-stop");
    private final Path restartFolder = FleetScenarioTest.folder("control-restart");
    private final List<Long> inForceMillis = new ArrayList<>();

    @BeforeAll
    static void quiet() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private static String operatorFile(int balancer, Topology topology) {
        return "[control]\nname = \""
                + Topology.name(balancer)
                + "\"\nservice = \""
                + SERVICE
                + "\"\nservers = [\""
                + Topology.text(topology.control(0))
                + "\", \""
                + Topology.text(topology.control(1))
                + "\"]\n";
    }

    @Test
    void settingsChangeUnderTrafficWhileAControlMachineDies() {
        Plan plan = Plan.quiet(23, BALANCERS, 6, 60, 500);
        Verdict verdict =
                Run.play(
                        plan,
                        PROGRAM,
                        ControlScenarioTest::operatorFile,
                        changesFolder,
                        this::change);
        assertEquals(List.of(), verdict.faults(), () -> "kept in " + verdict.kept());
        assertEquals(Outcome.KEPT, verdict.outcome());
        assertEquals(verdict.requests(), verdict.served(), "no request is lost");
        Collections.sort(inForceMillis);
        System.out.println(
                "control scenario: "
                        + BALANCERS
                        + " balancers, "
                        + CHANGES
                        + " changes, in force "
                        + "at all after "
                        + inForceMillis.get(CHANGES / 2)
                        + " ms (median) and "
                        + inForceMillis.get(CHANGES - 1)
                        + " ms (longest), "
                        + verdict.served()
                        + " of "
                        + verdict.requests()
                        + " requests served");
    }

    /** With all control machines down, what was in force comes from the balancer's own disk. */
    @Test
    void aBalancerThatRestartsWithoutControlServesByWhatWasInForce() {
        Verdict verdict =
                Run.play(
                        Plan.quiet(24, 1, 2, 20, 500),
                        PROGRAM,
                        ControlScenarioTest::operatorFile,
                        restartFolder,
                        this::restartWithoutControl);
        assertEquals(List.of(), verdict.faults(), () -> "kept in " + verdict.kept());
        assertEquals(Outcome.KEPT, verdict.outcome());
    }

    private void restartWithoutControl(Scene scene) {
        try (Reaper reaper = new Reaper(Program.MARK);
                ControlInstance writer = writer(scene, restartFolder, reaper)) {
            writer.start();
            Revision revision = accept(writer, 1);
            awaitInForce(scene, revision);
            writer.kill();
            scene.instances().get(0).restart();
            awaitInForce(scene, revision);
        } catch (IOException e) {
            throw new RigFailure("control can't be played", e);
        }
    }

    /** Guards against a process that gets no configuration updates after SIGTERM. */
    @Test
    void aProcessThatStopsAppliesWhatItsSuccessorIsTold() {
        Verdict verdict =
                Run.play(
                        Plan.quiet(25, 1, 2, 20, 500),
                        PROGRAM,
                        ControlScenarioTest::operatorFile,
                        stopFolder,
                        this::changeAfterTheSignal);
        assertEquals(List.of(), verdict.faults(), () -> "kept in " + verdict.kept());
        assertEquals(Outcome.KEPT, verdict.outcome());
    }

    private void changeAfterTheSignal(Scene scene) {
        try (Reaper reaper = new Reaper(Program.MARK);
                ControlInstance writer = writer(scene, stopFolder, reaper)) {
            writer.start();
            awaitInForce(scene, accept(writer, 1));
            BalancerInstance balancer = scene.instances().get(0);
            Child first = balancer.current();
            // A resting connection keeps the first process for 3 s after its signal.
            try (Sockets.Client resting = new Sockets.Client(scene.topology.listen(0))) {
                Thread handOver = new Thread(balancer::handOver);
                handOver.start();
                while (balancer.current() == first) {
                    BalancerInstance.pause(LOOK_MS);
                }
                BalancerInstance.pause(SIGNAL_MS);
                Revision revision = accept(writer, 2);
                awaitInForce(balancer.current(), revision);
                awaitInForce(first, revision);
                handOver.join(BOUND_MS);
                assertFalse(handOver.isAlive());
                assertTrue(resting.socket.isConnected());
            } catch (InterruptedException e) {
                throw new RigFailure("interrupted in a hand-over", e);
            }
        } catch (IOException e) {
            throw new RigFailure("control can't be played", e);
        }
    }

    private static ControlInstance writer(Scene scene, Path folder, Reaper reaper)
            throws IOException {
        return ControlInstance.writer(scene.topology.control(0), PROGRAM, folder, reaper);
    }

    private void change(Scene scene) {
        try (Reaper reaper = new Reaper(Program.MARK);
                ControlInstance writer = writer(scene, changesFolder, reaper);
                ControlInstance follower =
                        ControlInstance.follower(
                                scene.topology.control(1),
                                writer.address(),
                                PROGRAM,
                                changesFolder,
                                reaper)) {
            writer.start();
            follower.start();
            for (int number = 1; number <= CHANGES; number++) {
                if (number == CHANGES / 3) {
                    follower.kill();
                }
                if (number == 2 * CHANGES / 3) {
                    follower.start();
                }
                awaitInForce(scene, accept(writer, number));
            }
        } catch (IOException e) {
            throw new RigFailure("control can't be played", e);
        }
    }

    /** One change that touches a class, the limits and two tenants at once. */
    private static Change change(int number) {
        List<Resource> put = new ArrayList<>();
        List<ResourceId> deleted = new ArrayList<>();
        if (number == 1) {
            put.add(new Service(SERVICE, List.of(), List.of()));
            put.add(requestClass("push", RetrySafety.IDEMPOTENCY_KEY, 1));
            put.add(requestClass("once", RetrySafety.NOT_IDEMPOTENT, 1));
        } else {
            deleted.add(new ResourceId(ResourceKind.TENANT, SERVICE, "tenant-" + (number - 1)));
        }
        put.add(requestClass("lookup", RetrySafety.IDEMPOTENT, 0.9 + 0.01 * (number % 20)));
        put.add(new Limits(SERVICE, 2 + number % 3, 20_000, true, 2, 0.25, 30));
        put.add(new Tenant(SERVICE, "acme", 0, 0.5 + 0.01 * (number % 20)));
        put.add(new Tenant(SERVICE, "tenant-" + number, 5, 0.1));
        return new Change("change-" + number, put, deleted);
    }

    private static RequestClass requestClass(String name, RetrySafety repeat, double aimSeconds) {
        return new RequestClass(
                SERVICE, name, aimSeconds, 3, 5, 0.2, repeat, DeduplicationScope.ALL, 2);
    }

    private static Revision accept(ControlInstance writer, int number) throws IOException {
        String body = new String(ResourceCodec.encode(change(number)), StandardCharsets.UTF_8);
        try (Sockets.Client client = new Sockets.Client(writer.address())) {
            Sockets.Message answer =
                    client.write(
                                    "POST /v1/changes HTTP/1.1\r\nHost: control\r\n"
                                            + "Content-Length: "
                                            + body.length()
                                            + "\r\n\r\n"
                                            + body)
                            .read();
            if (answer == null || answer.status() != 200) {
                throw new RigFailure("change " + number + " was not accepted: " + answer);
            }
            return Revision.parse(
                    answer.body().replaceAll(".*\"revision\":\"([0-9.]+)\".*", "$1").strip());
        }
    }

    private void awaitInForce(Scene scene, Revision revision) {
        long begin = System.nanoTime();
        for (BalancerInstance balancer : scene.instances()) {
            awaitInForce(balancer.current(), revision);
        }
        inForceMillis.add(millisSince(begin));
    }

    private static void awaitInForce(Child process, Revision revision) {
        String epoch = "app.control_epoch:" + revision.epoch() + "|g";
        String number = "app.control_revision:" + revision.number() + "|g";
        long begin = System.nanoTime();
        String figures = process.call("STATS");
        while (!figures.contains(epoch) || !figures.contains(number)) {
            if (millisSince(begin) > BOUND_MS) {
                throw new Broken(
                        "revision "
                                + revision
                                + " is not in force after "
                                + BOUND_MS
                                + " ms at "
                                + process.name()
                                + ": "
                                + figures);
            }
            BalancerInstance.pause(LOOK_MS);
            figures = process.call("STATS");
        }
    }

    private static long millisSince(long begin) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
    }
}
