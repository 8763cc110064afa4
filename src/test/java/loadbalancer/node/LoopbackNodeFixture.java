package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Script;
import loadbalancer.faults.process.peer.Sockets.Server;
import loadbalancer.http1.downstream.ClientServer;
import loadbalancer.http1.downstream.ShutdownTimes;
import loadbalancer.proxy.ProcessMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base of tests that run a balancer between upstreams, a discovery server and clients of the test
 * on loopback sockets.
 */
abstract class LoopbackNodeFixture {
    static final Script SERVE = (m, s) -> Sockets.answer(s, "200 OK", "", "done");
    static final Script HANG = (m, s) -> {};

    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 12_000;

    /** Starts anywhere, so that two runs of the tests side by side rarely meet. */
    private static final AtomicInteger NEXT_PORT = new AtomicInteger(new Random().nextInt(PORTS));

    @TempDir Path folder;
    private final List<AutoCloseable> resources = new ArrayList<>();
    EventLoopGroup group;
    int sockets = 1024;
    int memoryMegabytes = 256;
    String listen = "127.0.0.1:0";
    String idle = "10";
    String loadReports = "silent";
    Node running;
    final ProcessMetrics figures = new ProcessMetrics();
    ClientServer node;
    private int nextRequestId;

    @BeforeEach
    void startEventLoop() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterEach
    void closeAllAndCheckViolations() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        assertEquals("none", figures.violations().summary());
    }

    /**
     * Returns a loopback address that is free. Its port is below those that the kernel assigns, so
     * that no socket of this test gets it before the address is used; no two calls return the same.
     */
    static InetSocketAddress freeAddress() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int i = 0; i < PORTS; i++) {
            int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORTS;
            try (ServerSocket free = new ServerSocket(port, 1, loopback)) {
                return (InetSocketAddress) free.getLocalSocketAddress();
            } catch (BindException e) {
                continue; // used by another process
            }
        }
        throw new IOException("no free port from " + FIRST_PORT);
    }

    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    Server server(Script script) throws IOException {
        Server server = new Server(script);
        resources.add(server);
        return server;
    }

    Client client() throws IOException {
        Client client = new Client(node.address());
        resources.add(client);
        return client;
    }

    static String entry(String id, String addr, String state) {
        return "{\"id\":\""
                + id
                + "\",\"addr\":\""
                + addr
                + "\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":0,"
                + "\"new\":[],\"state\":\""
                + state
                + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    static String list(int version, boolean full, String... entries) {
        return "{\"version\":"
                + version
                + ",\"full\":"
                + full
                + ",\"servers\":["
                + String.join(",", entries)
                + "]}";
    }

    static String ready(Server... upstreams) {
        return list(
                41,
                true,
                Arrays.stream(upstreams)
                        .map(u -> entry("s-" + u.addr(), u.addr(), "Ready"))
                        .toArray(String[]::new));
    }

    static String serviceClass(String name, String repeat) {
        return "{\"name\":\""
                + name
                + "\",\"repeat\":\""
                + repeat
                + "\",\"dedup-scope\":\"zone\","
                + "\"memory-span-s\":10,\"aim-s\":1,\"give-up-s\":20,\"worth\":1,\"late-worth\":0.5}";
    }

    /** Starts a balancer with a known endpoint list and a discovery server. */
    void start(String known, Server discovery) throws Exception {
        running = startNode(writeConfiguration(known, discovery));
        node = running.server();
    }

    /** Writes the configuration file of a balancer. */
    Path writeConfiguration(String known, Server discovery) throws IOException {
        return Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"n\",\"listen\":\""
                        + listen
                        + "\",\"discovery\":\""
                        + discovery.addr()
                        + "\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":"
                        + memoryMegabytes
                        + ",\"sockets\":"
                        + sockets
                        + "},"
                        + "\"known\":"
                        + known
                        + ",\"settings\":{\"az\":0,\"localities\":[\"z\"],\"kinds\":[\"k\"],"
                        + "\"classes\":["
                        + serviceClass("submit", "single_shot")
                        + ","
                        + serviceClass("revise", "guarded")
                        + ","
                        + serviceClass("look", "free")
                        + "],\"parties\":[{\"name\":\"acme\",\"share\":1}],\"over-share-worth\":1,"
                        + "\"position\":0,\"group-size\":1,"
                        + "\"ceilings\":{\"try-limit\":4,\"may-duplicate\":false,\"cancel\":true,"
                        + "\"probes\":true,\"peers\":false,\"max-open\":100,\"retry-after\":false,"
                        + "\"max-retry-after-s\":0,\"multiplex\":1,"
                        + "\"connect-timeout-s\":0.25,\"conn-idle-s\":"
                        + idle
                        + "},\"rules\":{\"answer-slack-s\":0.02,\"ask-within-s\":0,"
                        + "\"drain-grace-s\":2,\"cold-s\":9,"
                        + "\"start-capacity\":0.2,\"fall-multiple\":3,\"fall-s\":1},"
                        + "\"report\":{\"names\":[\"cpu\"],\"via\":\""
                        + loadReports
                        + "\"},\"weights\":\"silent\","
                        + "\"prices\":{\"cross-zone\":0,\"waste\":0,\"probe\":0,\"peer\":0,"
                        + "\"late-fail\":0,\"handshake\":0},"
                        + "\"tick-s\":0.005,\"discovery\":\"pushed\"}}");
    }

    /**
     * Shuts the balancer down with these times, which do not depend on its settings. Connections
     * that are still open are closed only after 10 minutes.
     */
    Future<Void> shutDown(long acceptMs, long keepMs, long lastAnswerMs) throws Exception {
        ShutdownTimes times = new ShutdownTimes(acceptMs, keepMs, lastAnswerMs, 600_000);
        return group.next().submit(() -> node.shutDownGracefully(times)).sync().getNow();
    }

    /** Starts another balancer, which acts like a process of its own. */
    Node startNode(Path file) throws Exception {
        return startNode(file, StateStorage.NONE);
    }

    /** Starts another balancer that stores its state. */
    Node startNode(Path file, StateStorage storage) throws Exception {
        Node next = Node.start(file, group.next(), figures, folder, storage);
        resources.add(next::close);
        next.listen();
        return next;
    }

    void start(Server... upstreams) throws Exception {
        start(ready(upstreams), server(HANG));
    }

    String request(String method, String cls, String left, String more) {
        return method
                + " /"
                + cls
                + "?key=k1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: id-"
                + nextRequestId++
                + "\r\nX-Service-Class: "
                + cls
                + "\r\nX-Account: acme\r\nX-Time-Left-Ms: "
                + left
                + "\r\n"
                + more
                + "Content-Length: "
                + (method.equals("GET") ? 0 : 3)
                + "\r\n\r\n"
                + (method.equals("GET") ? "" : "bid");
    }

    String submit() {
        return request("POST", "submit", "9000", "");
    }

    static void assertFailed(Message response) {
        assertTrue(response.status() >= 500, response.start());
        assertNotEquals(503, response.status(), "503 tells the client that a retry is harmless");
    }

    void awaitServedBy(Server upstream) throws Exception {
        Client client = client();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Sockets.PATIENCE_S);
        while (upstream.requests.isEmpty()) {
            assertTrue(System.nanoTime() < end, "no request reached the upstream in time");
            assertEquals(200, client.write(submit()).read().status());
        }
    }
}
