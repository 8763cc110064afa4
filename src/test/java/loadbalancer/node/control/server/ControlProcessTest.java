package loadbalancer.node.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Tenant;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.http1.control.CallRejectedException;
import loadbalancer.http1.control.ControlApiClient;
import loadbalancer.http1.control.ControlStatus;
import loadbalancer.settings.ControlFile;
import org.junit.jupiter.api.Test;

/** Changes from the command line until they are in force, and the control server as a program. */
class ControlProcessTest extends ControlProcessFixture {
    @Test
    void subscriberOfFollowerReceivesSnapshotThenDelta() throws Exception {
        ControlProcess writer = start(writerFile());
        ControlProcess follower = start(followerFile(writer.address()));
        Revision first = call(writer).change(firstChange());
        awaitResources(follower);
        TestBalancer balancer = new TestBalancer(follower.address());
        assertTrue(Sockets.next(balancer.inForce).snapshot());
        Revision second = call(writer).change(secondChange());
        assertEquals(first.next(), second);
        InForce delta = balancer.awaitRevision(second);
        assertFalse(delta.snapshot());
        ControlStatus status = call(writer).status();
        assertEquals(new InForce(status.revision(), status.digest(), false), delta);
    }

    @Test
    void commandReportsWhenChangeIsInForceAtAllSubscribers() throws Exception {
        ControlProcess writer = start(writerFile());
        ControlProcess follower = start(followerFile(writer.address()));
        call(writer).change(firstChange());
        TestBalancer balancer = new TestBalancer(follower.address());
        balancer.awaitRevision(call(writer).status().revision());
        awaitReportedSubscriber(writer);
        String output = changeCommand(writer, secondChange(), "--wait", "20");
        assertTrue(
                output.matches(
                        "accepted as 1\\.2\nin force at all 2 subscribers after .* s\nexit 0"),
                output);
        String status = command("control", "status", "--from", text(writer.address()));
        assertTrue(status.contains("writer writer at 1.2, 2 resources"), status);
        assertTrue(status.contains("follower follower, "), status);
    }

    /** Waits until the follower has received a state. */
    private void awaitResources(ControlProcess follower) throws Exception {
        ControlApiClient call = call(follower);
        while (call.status().resources() == 0) {
            continue;
        }
    }

    /** Waits until the follower has reported its subscriber to the writer. */
    private void awaitReportedSubscriber(ControlProcess writer) throws Exception {
        ControlApiClient call = call(writer);
        boolean isReported = false;
        while (!isReported) {
            isReported =
                    call.status().followers().stream()
                            .anyMatch(report -> report.distribution().inForce() == 1);
        }
    }

    @Test
    void commandShowsRejectionBySubscriber() throws Exception {
        ControlProcess writer = start(writerFile());
        ControlProcess follower = start(followerFile(writer.address()));
        Revision first = call(writer).change(firstChange());
        TestBalancer balancer = new TestBalancer(follower.address());
        balancer.awaitRevision(first);
        awaitReportedSubscriber(writer);
        String line = "b1 refused 1.2: tenant shop/unusable: rejected by the test\n";
        String output =
                changeCommand(
                        writer,
                        change("bad", new Tenant("shop", REJECTED_TENANT, 1, 1)),
                        "--wait",
                        "20");
        assertEquals("accepted as 1.2\n" + line + "exit 1", output);
        assertTrue(command("control", "status", "--from", text(writer.address())).contains(line));
        assertEquals(first, onLoop(() -> balancer.subscriber.state().revision()));
    }

    @Test
    void rejectsInvalidChangeInOneLine() throws Exception {
        ControlProcess writer = start(writerFile());
        Revision before = call(writer).status().revision();
        Change change = change("lost", new Tenant("nowhere", "acme", 1, 1));
        CallRejectedException rejection =
                assertThrows(CallRejectedException.class, () -> call(writer).change(change));
        assertEquals(409, rejection.status());
        assertEquals("tenant nowhere/acme: refers to an unknown service", rejection.getMessage());
        assertEquals(
                "refused: tenant nowhere/acme: refers to an unknown service\nexit 1",
                changeCommand(writer, change));
        assertEquals(before, call(writer).status().revision());
    }

    @Test
    void appliesRetriedChangeOnce() throws Exception {
        ControlProcess writer = start(writerFile());
        Revision first = call(writer).change(firstChange());
        assertEquals(first, call(writer).change(firstChange()));
        assertEquals(first, call(writer).status().revision());
    }

    @Test
    void followerRejectsChangeWithAddressOfWriter() throws Exception {
        ControlProcess writer = start(writerFile());
        ControlProcess follower = start(followerFile(writer.address()));
        assertEquals(
                "refused: this machine follows; changes are taken at "
                        + text(writer.address())
                        + "\nexit 1",
                changeCommand(follower, firstChange()));
    }

    @Test
    void printsAddressAndExitsCleanlyOnSigterm() throws Exception {
        writerFile();
        Process process = program("serve", folder.resolve("writer.toml").toString());
        try (var lines = process.errorReader()) {
            String line = lines.readLine();
            assertTrue(line.matches("control serving at 127\\.0\\.0\\.1:\\d+ as writer"), line);
            assertTrue(process.toHandle().destroy());
            assertTrue(process.waitFor(Sockets.PATIENCE_S, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue());
            assertEquals(null, lines.readLine());
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void startWithDamagedLogFailsInOneLine() throws Exception {
        ControlFile file = writerFile();
        ControlProcess writer = start(file);
        call(writer).change(firstChange());
        call(writer).change(secondChange());
        stop(writer);
        damageLog();
        String output = command("control", "serve", folder.resolve("writer.toml").toString());
        assertTrue(output.matches("control writer: .* at byte \\d+: .*\nexit 2"), output);
    }

    /** Changes one byte of the largest file, within its first record. */
    private void damageLog() throws Exception {
        try (var files = Files.list(folder.resolve("writer"))) {
            Path log =
                    files.max(
                                    (one, other) ->
                                            Long.compare(
                                                    one.toFile().length(), other.toFile().length()))
                            .orElseThrow();
            byte[] bytes = Files.readAllBytes(log);
            bytes[bytes.length / 4] ^= 1;
            Files.write(log, bytes);
        }
    }

    private Process program(String... args) throws Exception {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "loadbalancer.node.Main",
                                "control"));
        command.addAll(List.of(args));
        Process process = new ProcessBuilder(command).start();
        opened.add(process::destroyForcibly);
        return process;
    }
}
