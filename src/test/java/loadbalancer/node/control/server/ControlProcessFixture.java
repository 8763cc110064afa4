package loadbalancer.node.control.server;

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
import loadbalancer.http1.control.ControlApiClient;
import loadbalancer.http1.control.ControlClient;
import loadbalancer.http1.control.SubscriberRunner;
import loadbalancer.settings.ControlFile;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** Control servers and subscribers in one process, on sockets and files. */
abstract class ControlProcessFixture {
    static final String REJECTED_TENANT = "unusable";

    static final ResourceId TENANT = new Tenant("shop", "acme", 0, 0).id();

    @TempDir Path folder;

    final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    final Transport transport = new SocketTransport(group.next());

    final List<AutoCloseable> opened = new ArrayList<>();

    /** A state that an update put in force. */
    record InForce(Revision revision, Digest digest, boolean snapshot) {}

    /** A subscriber that records each state in force, and rejects one tenant. */
    final class TestBalancer implements UpdateConsumer {
        final BlockingQueue<InForce> inForce = new LinkedBlockingQueue<>();
        final Subscriber subscriber;

        TestBalancer(InetSocketAddress server) {
            ControlClient client = new ControlClient(transport, List.of(server));
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

        /** Waits for the first state at the revision or a later one. */
        InForce awaitRevision(Revision revision) throws InterruptedException {
            InForce next = Sockets.next(inForce);
            while (revision.isAfter(next.revision())) {
                next = Sockets.next(inForce);
            }
            return next;
        }

        @Override
        public void check(VersionedResource resource) throws InvalidChangeException {
            if (resource.id().name().equals(REJECTED_TENANT)) {
                throw new InvalidChangeException(resource.id().toString(), "rejected by the test");
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

    <T> T onLoop(Callable<T> task) throws Exception {
        return transport.loop().submit(task).get(Sockets.PATIENCE_S, TimeUnit.SECONDS);
    }

    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    ControlFile writerFile() throws Exception {
        return file("writer", "role = \"writer\"\n");
    }

    ControlFile followerFile(InetSocketAddress writer) throws Exception {
        return file("follower", "role = \"follower\"\nfollow = [\"" + text(writer) + "\"]\n");
    }

    ControlFile file(String name, String role) throws Exception {
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

    ControlProcess start(ControlFile file) throws Exception {
        ControlProcess process = ControlProcess.start(file);
        opened.add(process);
        return process;
    }

    void stop(ControlProcess process) {
        opened.remove(process);
        process.close();
    }

    ControlApiClient call(ControlProcess process) {
        ControlApiClient call = new ControlApiClient(transport, process.address());
        opened.add(call);
        return call;
    }

    static Change change(String id, Resource... put) {
        return new Change(id, List.of(put), List.of());
    }

    static Change firstChange() {
        return change(
                "first",
                new Service("shop", List.of(), List.of()),
                new Tenant("shop", "acme", 5, 0.5));
    }

    static Change secondChange() {
        return change("second", new Tenant("shop", "acme", 7, 0.5));
    }

    /**
     * Runs a command of the program, and returns its output with the exit code on the last line.
     */
    static String command(String... args) {
        StringWriter out = new StringWriter();
        PrintWriter printer = new PrintWriter(out, true);
        int exit = new LoadBalancerCommand().run(printer, printer, args);
        return out + "exit " + exit;
    }

    String changeCommand(ControlProcess process, Change change, String... more) throws Exception {
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
}
