package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Server;
import org.junit.jupiter.api.Test;

/** Runs the program under a limit of as many file descriptors as its configuration states. */
class DescriptorsTest extends ChildProgramFixture {
    /**
     * Share of {@link ConnectionLimits#OWN_DESCRIPTORS} that the jar and its libraries use in
     * production: 12 files.
     */
    private static final int JARS = 12;

    /** Returns the number of jars on the test's class path, which the child process opens, too. */
    private static long testJars() {
        return Stream.of(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(entry -> entry.endsWith(".jar"))
                .count();
    }

    /** Runs the program with as many descriptors as it is told of, and those for the jars. */
    private List<String> limitedDescriptors() {
        return List.of(
                "sh", "-c", "ulimit -n " + (sockets - JARS + testJars()) + "; exec \"$@\"", "sh");
    }

    private long openDescriptors() throws IOException {
        long count = 0;
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            for (Path p : open.toList()) {
                count += isOpenAndNoJar(p) ? 1 : 0;
            }
        }
        return count;
    }

    /** Returns false, too, for a descriptor that was closed after it was listed. */
    private static boolean isOpenAndNoJar(Path descriptor) throws IOException {
        try {
            return !Files.readSymbolicLink(descriptor).toString().endsWith(".jar");
        } catch (NoSuchFileException e) {
            return false;
        }
    }

    /**
     * Idle clients use up the client connections and more wait in the accept queue; discovery, the
     * admin endpoint and upstream connections must still get descriptors.
     */
    @Test
    void idleClientsLeaveDescriptorsForDiscoveryAdminAndUpstreams() throws Exception {
        InetSocketAddress address = freeAddress();
        InetSocketAddress discovery = freeAddress();
        listen = text(address);
        sockets = 160;
        Server upstream = server(SERVE);
        Server placeholder = server(HANG);
        Path config = writeConfiguration(ready(upstream), placeholder);
        Files.writeString(
                config, Files.readString(config).replace(placeholder.addr(), text(discovery)));
        startProgram(config, limitedDescriptors());
        ConnectionLimits limits = ConnectionLimits.of(sockets, false);
        List<Client> clients = new ArrayList<>();
        try {
            for (int i = 0; i < limits.clients(); i++) {
                clients.add(new Client(address));
                assertEquals(200, clients.get(i).write(submit()).read().status());
            }
            for (int i = 0; i < 40; i++) {
                clients.add(new Client(address)); // waits in the accept queue
            }
            Server discoveryServer = new Server(discovery, HANG);
            Sockets.next(discoveryServer.requests);
            assertEquals("SUCCESS ready\n", call("READY"));
            long own = openDescriptors() - limits.clients() - upstream.accepted.size();
            assertTrue(
                    own <= ConnectionLimits.OWN_DESCRIPTORS - JARS,
                    own + " descriptors besides clients, upstreams and jars");
            discoveryServer.close();
        } finally {
            for (Client c : clients) {
                c.close();
            }
        }
    }
}
