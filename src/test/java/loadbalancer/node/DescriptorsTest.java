package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Server;
import loadbalancer.faults.process.program.Program;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The program with no more descriptors than its configuration says. */
class DescriptorsTest extends OnSockets {
    /**
     * Of {@link ConnectionLimits#OWN_DESCRIPTORS}: those that the jar and its libraries take in
     * service, 12 files.
     */
    private static final int JARS = 12;

    private Process child;

    @AfterEach
    void endChild() {
        if (child != null) {
            child.destroyForcibly();
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /** Classes come from a jar each in tests: these are the test's, and come on top. */
    private static long jarsOfTheTest() {
        return Stream.of(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(entry -> entry.endsWith(".jar"))
                .count();
    }

    private void program(Path config, InetSocketAddress door) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "sh",
                                "-c",
                                "ulimit -n " + (sockets - JARS + jarsOfTheTest()) + "; exec \"$@\"",
                                "sh"));
        command.addAll(Program.ofClassPath(System.getProperty("java.class.path")).plain());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("NODE_OPS", text(door));
        builder.environment().put("TMPDIR", folder.toString());
        child =
                builder.redirectErrorStream(true)
                        .redirectOutput(folder.resolve("log").toFile())
                        .start();
    }

    /**
     * What the door says to a line, with a connection of its own; null if it does not listen yet.
     */
    private static String call(InetSocketAddress door, String line) throws IOException {
        try (Client client = new Client(door)) {
            client.write(line + "\n");
            return new String(client.socket.getInputStream().readAllBytes(), "US-ASCII");
        } catch (java.net.ConnectException e) {
            return null;
        }
    }

    private long descriptors() throws IOException {
        long count = 0;
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(child.pid()), "fd"))) {
            for (Path p : open.toList()) {
                count += isOpenBesideJars(p) ? 1 : 0;
            }
        }
        return count;
    }

    /** One that was closed since it was listed is not open. */
    private static boolean isOpenBesideJars(Path descriptor) throws IOException {
        try {
            return !Files.readSymbolicLink(descriptor).toString().endsWith(".jar");
        } catch (NoSuchFileException e) {
            return false;
        }
    }

    /**
     * Idle clients may take all that there is for them, and more wait: nothing else goes short for
     * that.
     */
    @Test
    void idleClientsLeaveRoomForDiscoveryOperatorsAndUpstreams() throws Exception {
        InetSocketAddress address = freeAddress();
        InetSocketAddress discovery = freeAddress();
        InetSocketAddress door = freeAddress();
        listen = text(address);
        sockets = 160;
        Server upstream = server(SERVE);
        Server down = server(HANG);
        Path config = write(ready(upstream), down);
        Files.writeString(config, Files.readString(config).replace(down.addr(), text(discovery)));
        program(config, door);
        while (!"SUCCESS ready\n".equals(call(door, "READY"))) {
            assertTrue(child.isAlive(), Files.readString(folder.resolve("log")));
            Thread.sleep(20);
        }
        ConnectionLimits limits = ConnectionLimits.of(sockets, false);
        List<Client> clients = new ArrayList<>();
        try {
            for (int i = 0; i < limits.clients(); i++) {
                clients.add(new Client(address));
                assertEquals(200, clients.get(i).write(submit()).read().status());
            }
            for (int i = 0; i < 40; i++) {
                clients.add(new Client(address)); // these wait in the system
            }
            Server back = new Server(discovery, HANG);
            Sockets.next(back.requests);
            assertEquals("SUCCESS ready\n", call(door, "READY"));
            long own = descriptors() - limits.clients() - upstream.accepted.size();
            assertTrue(own <= ConnectionLimits.OWN_DESCRIPTORS - JARS, own + " of its own");
            back.close();
        } finally {
            for (Client c : clients) {
                c.close();
            }
        }
    }
}
