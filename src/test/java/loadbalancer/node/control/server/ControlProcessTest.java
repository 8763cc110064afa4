package loadbalancer.node.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.cli.LoadBalancerCommand;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.Service;
import loadbalancer.control.model.Tenant;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.control.subscribe.AppliedUpdate;
import loadbalancer.control.subscribe.ResourceView;
import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.control.subscribe.SubscriberSettings;
import loadbalancer.control.subscribe.UpdateConsumer;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.http1.control.CallRejectedException;
import loadbalancer.http1.control.ChangeCall;
import loadbalancer.http1.control.ControlClient;
import loadbalancer.http1.control.ControlStatus;
import loadbalancer.http1.control.SubscriberRunner;
import loadbalancer.settings.ControlFile;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A writer, a follower and subscribers in one process, on real sockets and files. */
class ControlProcessTest {
    private static final String REFUSED_TENANT = "unusable";
    private static final ResourceId TENANT = new Tenant("shop", "acme", 0, 0).id();

    @TempDir Path folder;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Transport transport = new SocketTransport(group.next());
    private final List<AutoCloseable> opened = new ArrayList<>();

    /** What one update led to. */
    private record InForce(Revision revision, Digest digest, boolean snapshot) {}

    /** A subscriber that notes what comes in force, and refuses one tenant. */
    private final class TestBalancer implements UpdateConsumer {
        private final BlockingQueue<InForce> inForce = new LinkedBlockingQueue<>();
        private final Subscriber subscriber;

        TestBalancer(InetSocketAddress machine) {
            ControlClient client = new ControlClient(transport, List.of(machine));
            subscriber =
                    new Subscriber(
                            new SubscriberSettings("b1", "z1", Scope.ALL, 1, 100, 6_000, 10, 100),
                            new ResourceState(),
                            this,
                            client,
                            transport.random());
            SubscriberRunner runner = new SubscriberRunner(transport, subscriber);
            client.listen(runner);
            transport.loop().execute(runner::start);
            opened.add(
                    () ->
                            onLoop(
                                    () -> {
                                        runner.stop();
                                        client.shutDown();
                                        return null;
                                    }));
        }

        /** The first that comes at that revision or after it. */
        InForce awaitFrom(Revision revision) throws InterruptedException {
            InForce next = Sockets.next(inForce);
            while (revision.isAfter(next.revision())) {
                next = Sockets.next(inForce);
            }
            return next;
        }

        @Override
        public void check(VersionedResource resource) throws InvalidChangeException {
            if (resource.id().name().equals(REFUSED_TENANT)) {
                throw new InvalidChangeException(resource.id().toString(), "no such pool here");
            }
        }

        @Override
        public void checkServices(ResourceView after, Set<String> services) {}

        @Override
        public void updateApplied(AppliedUpdate update, ResourceState state) {
            inForce.add(
                    new InForce(state.revision(), state.digest(Scope.ALL), update.isSnapshot()));
        }
    }

    @AfterEach
    void closeAll() throws Exception {
        for (int last = opened.size() - 1; last >= 0; last--) {
            opened.get(last).close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private <T> T onLoop(Callable<T> step) throws Exception {
        return transport.loop().submit(step).get(Sockets.PATIENCE_S, TimeUnit.SECONDS);
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private ControlFile writerFile() throws Exception {
        return file("writer", "role = \"writer\"\n");
    }

    private ControlFile followerFile(InetSocketAddress writer) throws Exception {
        return file("follower", "role = \"follower\"\nfollow = [\"" + text(writer) + "\"]\n");
    }

    private ControlFile file(String name, String role) throws Exception {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(
                file,
                role
                        + "name = \""
                        + name
                        + "\"\nlisten = \"127.0.0.1:0\"\nfolder = \""
                        + folder.resolve(name)
                        + "\"\n");
        return ControlFile.read(file);
    }

    private ControlProcess start(ControlFile file) throws Exception {
        ControlProcess process = ControlProcess.start(file);
        opened.add(process);
        return process;
    }

    private void stop(ControlProcess process) {
        opened.remove(process);
        process.close();
    }

    private ChangeCall call(ControlProcess process) {
        ChangeCall call = new ChangeCall(transport, process.address());
        opened.add(call);
        return call;
    }

    private static Change change(String id, Resource... put) {
        return new Change(id, List.of(put), List.of());
    }

    private static Change firstChange() {
        return change(
                "first",
                new Service("shop", List.of(), List.of()),
                new Tenant("shop", "acme", 5, 0.5));
    }

    private static Change secondChange() {
        return change("second", new Tenant("shop", "acme", 7, 0.5));
    }

    /** Runs a command of the program; its output, and its exit code on the last line. */
    private static String command(String... args) {
        StringWriter out = new StringWriter();
        PrintWriter printer = new PrintWriter(out, true);
        int exit = new LoadBalancerCommand().run(printer, printer, args);
        return out + "exit " + exit;
    }

    private String changeCommand(ControlProcess process, Change change, String... more)
            throws Exception {
        Path file = folder.resolve(change.id() + ".json");
        Files.write(file, ResourceCodec.encode(change));
        List<String> args =
                new ArrayList<>(
                        List.of(
                                "control",
                                "change",
                                "--to",
                                text(process.address()),
                                file.toString()));
        args.addAll(List.of(more));
        return command(args.toArray(String[]::new));
    }

    // ---- The way of a change
    // ---------------------------------------------------------------------------

    @Test
    void aChangeComesInForceBehindAFollowerAsSnapshotAndThenAsDelta() throws Exception {
        ControlProcess writer = start(writerFile());
        ControlProcess follower = start(followerFile(writer.address()));
        Revision first = call(writer).change(firstChange());
        awaitResources(follower);
        TestBalancer balancer = new TestBalancer(follower.address());
        assertTrue(Sockets.next(balancer.inForce).snapshot());
        Revision second = call(writer).change(secondChange());
        assertEquals(first.next(), second);
        InForce delta = balancer.awaitFrom(second);
        assertFalse(delta.snapshot());
        ControlStatus status = call(writer).status();
        assertEquals(new InForce(status.revision(), status.digest(), false), delta);
    }

    @Test
    void theCommandSaysWhenAChangeIsInForceBehindAllMachines() throws Exception {
        ControlProcess writer = start(writerFile());
        ControlProcess follower = start(followerFile(writer.address()));
        call(writer).change(firstChange());
        TestBalancer balancer = new TestBalancer(follower.address());
        balancer.awaitFrom(call(writer).status().revision());
        awaitReportedSubscriber(writer);
        String said = changeCommand(writer, secondChange(), "--wait", "20");
        assertTrue(
                said.matches("accepted as 1\\.2\nin force at all 2 subscribers after .* s\nexit 0"),
                said);
        String status = command("control", "status", "--from", text(writer.address()));
        assertTrue(status.contains("writer writer at 1.2, 2 resources"), status);
        assertTrue(status.contains("follower follower, "), status);
    }

    /** Until a follower has more than an empty state. */
    private void awaitResources(ControlProcess follower) throws Exception {
        ChangeCall call = call(follower);
        while (call.status().resources() == 0) {
            continue;
        }
    }

    /** Until the follower has told the writer of its subscriber. */
    private void awaitReportedSubscriber(ControlProcess writer) throws Exception {
        ChangeCall call = call(writer);
        boolean told = false;
        while (!told) {
            told =
                    call.status().followers().stream()
                            .anyMatch(report -> report.distribution().inForce() == 1);
        }
    }

    @Test
    void whoRefusesAChangeIsToldToWhoeverMadeIt() throws Exception {
        ControlProcess writer = start(writerFile());
        ControlProcess follower = start(followerFile(writer.address()));
        Revision first = call(writer).change(firstChange());
        TestBalancer balancer = new TestBalancer(follower.address());
        balancer.awaitFrom(first);
        awaitReportedSubscriber(writer);
        String line = "b1 refused 1.2: tenant shop/unusable: no such pool here\n";
        String said =
                changeCommand(
                        writer,
                        change("bad", new Tenant("shop", REFUSED_TENANT, 1, 1)),
                        "--wait",
                        "20");
        assertEquals("accepted as 1.2\n" + line + "exit 1", said);
        assertTrue(command("control", "status", "--from", text(writer.address())).contains(line));
        assertEquals(first, onLoop(() -> balancer.subscriber.state().revision()));
    }

    @Test
    void aChangeThatCannotBeMadeGetsOneLineAndChangesNothing() throws Exception {
        ControlProcess writer = start(writerFile());
        Revision before = call(writer).status().revision();
        Change change = change("lost", new Tenant("nowhere", "acme", 1, 1));
        CallRejectedException refused =
                assertThrows(CallRejectedException.class, () -> call(writer).change(change));
        assertEquals(409, refused.status());
        assertEquals("tenant nowhere/acme: refers to an unknown service", refused.getMessage());
        assertEquals(
                "refused: tenant nowhere/acme: refers to an unknown service\nexit 1",
                changeCommand(writer, change));
        assertEquals(before, call(writer).status().revision());
    }

    @Test
    void aChangeMadeAgainIsTheSameChange() throws Exception {
        ControlProcess writer = start(writerFile());
        Revision first = call(writer).change(firstChange());
        assertEquals(first, call(writer).change(firstChange()));
        assertEquals(first, call(writer).status().revision());
    }

    @Test
    void aFollowerSaysWhoTakesChanges() throws Exception {
        ControlProcess writer = start(writerFile());
        ControlProcess follower = start(followerFile(writer.address()));
        assertEquals(
                "refused: this machine follows; changes are taken at "
                        + text(writer.address())
                        + "\nexit 1",
                changeCommand(follower, firstChange()));
    }

    // ---- Machines away
    // ---------------------------------------------------------------------------------

    @Test
    void aFollowerThatHasNothingDefersAndOneThatKeptItsStateServesAlone() throws Exception {
        ControlProcess writer = start(writerFile());
        Revision first = call(writer).change(firstChange());
        ControlFile file = followerFile(writer.address());
        ControlProcess follower = start(file);
        new TestBalancer(follower.address()).awaitFrom(first);
        stop(writer);
        stop(follower);

        ControlProcess again = start(file);
        assertEquals(first, new TestBalancer(again.address()).awaitFrom(first).revision());

        ControlProcess empty =
                start(
                        file(
                                "empty",
                                "role = \"follower\"\nfollow = [\""
                                        + text(writer.address())
                                        + "\"]\n"));
        Sockets.Client subscriber = new Sockets.Client(empty.address());
        opened.add(subscriber);
        Sockets.Message answer =
                subscriber.write("GET /v1/control?follow=1&name=b2 HTTP/1.1\r\n\r\n").read();
        assertEquals(503, answer.status());
        assertTrue(Double.parseDouble(answer.headers().get("retry-after")) >= 1);
    }

    @Test
    void aFollowerThatIsKilledHasKeptWhatItServed() throws Exception {
        ControlProcess writer = start(writerFile());
        Revision first = call(writer).change(firstChange());
        start(followerFile(writer.address()));
        Path kept = folder.resolve("follower").resolve("control-state");
        ControlFile copy = file("copy", "role = \"follower\"\nfollow = [\"127.0.0.1:1\"]\n");
        Files.createDirectories(folder.resolve("copy"));
        while (!Files.exists(kept)) {
            continue;
        }
        Files.copy(
                kept,
                folder.resolve("copy").resolve("control-state")); // what a crash would leave now
        ControlProcess again = start(copy);
        assertEquals(first, new TestBalancer(again.address()).awaitFrom(first).revision());
    }

    @Test
    void aRestartedWriterIsFollowedInItsNewEpoch() throws Exception {
        ControlProcess writer = start(writerFile());
        InetSocketAddress address = writer.address();
        ControlProcess follower = start(followerFile(address));
        Revision first = call(writer).change(firstChange());
        TestBalancer balancer = new TestBalancer(follower.address());
        balancer.awaitFrom(first);
        stop(writer);
        Path file = folder.resolve("writer.toml");
        Files.writeString(file, Files.readString(file).replace("127.0.0.1:0", text(address)));
        ControlProcess again = start(ControlFile.read(file));
        Revision second = call(again).change(secondChange());
        assertEquals(new Revision(first.epoch() + 1, first.number() + 1), second);
        assertEquals(call(again).status().digest(), balancer.awaitFrom(second).digest());
    }

    @Test
    void aWriterThatWasAwayGoesOnWithAllThatItAccepted() throws Exception {
        ControlFile file = writerFile();
        ControlProcess writer = start(file);
        Revision first = call(writer).change(firstChange());
        Digest digest = call(writer).status().digest();
        stop(writer);
        ControlProcess again = start(file);
        ControlStatus status = call(again).status();
        assertEquals(digest, status.digest());
        assertTrue(status.revision().isAfter(first));
        assertEquals(first, call(again).change(firstChange()));
        assertTrue(call(again).change(secondChange()).isAfter(status.revision()));
    }

    @Test
    void aWriterThatHearsOfAHigherEpochTakesNoMoreChanges() throws Exception {
        ControlProcess writer = start(writerFile());
        Sockets.Client follower = new Sockets.Client(writer.address());
        opened.add(follower);
        String report =
                "{\"machine\":\"f\",\"distribution\":{\"latest\":\"9.1\",\"oldestInForce\":\"9.1\","
                        + "\"rejections\":[]}}";
        follower.write(
                "POST /v1/control/reports HTTP/1.1\r\nContent-Length: "
                        + report.length()
                        + "\r\n\r\n"
                        + report);
        assertEquals(204, follower.read().status());
        CallRejectedException refused =
                assertThrows(CallRejectedException.class, () -> call(writer).change(firstChange()));
        assertEquals(503, refused.status());
        assertTrue(
                refused.getMessage().contains("another writer has epoch 9"), refused.getMessage());
    }

    // ---- The program
    // -----------------------------------------------------------------------------------

    @Test
    void theProgramSaysWhereItServesAndEndsCleanlyAtSigterm() throws Exception {
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
    void aDamagedLogEndsTheStartInOneLine() throws Exception {
        ControlFile file = writerFile();
        ControlProcess writer = start(file);
        call(writer).change(firstChange());
        call(writer).change(secondChange());
        stop(writer);
        damageLog();
        String said = command("control", "serve", folder.resolve("writer.toml").toString());
        assertTrue(said.matches("control writer: .* at byte \\d+: .*\nexit 2"), said);
    }

    /** Changes one byte of the first record of the largest file. */
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
