package loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.proxy.ProcessMetrics.Ending;
import loadbalancer.transport.SocketTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the responses of the admin endpoint and the bounds of its connections. */
class AdminServerTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final List<Socket> sockets = new ArrayList<>();
    private volatile String notReadyReason = "";
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private AdminServer server;

    @BeforeEach
    void openServer() throws IOException {
        server =
                new AdminServer(
                        new SocketTransport(group.next()),
                        new InetSocketAddress("127.0.0.1", 0),
                        metrics,
                        () -> notReadyReason);
    }

    @AfterEach
    void closeServer() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Socket send(String text) throws IOException {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.connect(server.address());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** Reads all lines up to the end of the stream. */
    private static List<String> lines(Socket socket) throws IOException {
        return new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                .lines()
                .toList();
    }

    @Test
    void namesReasonWhileNotReady() throws IOException {
        assertEquals(List.of("SUCCESS ready"), lines(send("READY\n")));
        notReadyReason = "no list yet";
        assertEquals(List.of("FAILURE no list yet"), lines(send("READY\r\n")));
    }

    @Test
    void writesOneMetricPerLineAndEndLineForStats() throws IOException {
        metrics.register("look");
        metrics.requestReceived();
        metrics.requestReceived();
        metrics.requestReceived();
        metrics.attemptWritten();
        metrics.requestEnded("submit", Ending.PASSED);
        metrics.requestAbandoned();
        metrics.setEndpointCounts(12, 2);
        metrics.configurationLoaded(true);
        metrics.configurationLoaded(false);
        assertEquals(
                List.of(
                        "SUCCESS",
                        "app.handled.look.passed:0|c",
                        "app.handled.look.dropped:0|c",
                        "app.handled.look.bad_gateway:0|c",
                        "app.handled.submit.passed:1|c",
                        "app.handled.submit.dropped:0|c",
                        "app.handled.submit.bad_gateway:0|c",
                        "app.upstream_tries:1|c",
                        "app.in_progress:1|g",
                        "app.known_upstreams:12|g",
                        "app.skipped_upstreams:2|g",
                        "app.loads:1|c",
                        "app.load_errors:1|c",
                        "app.violations:0|c",
                        "EOT"),
                lines(send("STATS\n")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "STOP\n",
                "\n",
                "READY now\n",
                "\u0000\u0001\u00ff",
                "GET / HTTP/1.1\r\n\r\n",
                "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
                        + "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
            })
    void respondsWithOneFailureLineAndClosesAfterInvalidCommand(String text) throws IOException {
        List<String> response = lines(send(text));
        assertEquals(1, response.size(), response.toString());
        assertTrue(response.get(0).startsWith("FAILURE "), response.toString());
    }

    @Test
    void respondsToUnterminatedCommandAfterFin() throws IOException {
        Socket socket = send("READY");
        socket.shutdownOutput();
        assertEquals(List.of("SUCCESS ready"), lines(socket));
    }

    @Test
    void boundsSilentConnectionsWithoutBlockingOthers() throws IOException {
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 3 * AdminServer.MAX_CONNECTIONS; i++) {
            silent.add(send(i % 2 == 0 ? "" : "REA"));
        }
        assertEquals(List.of("SUCCESS ready"), lines(send("READY\n")));
        for (int i = 0; i < 2 * AdminServer.MAX_CONNECTIONS; i++) {
            assertEquals(
                    -1, silent.get(i).getInputStream().read(), "oldest connections must be closed");
        }
    }

    @Test
    void closesConnectionWithUnfinishedCommandAfterTimeout() throws IOException {
        assertNull(
                new BufferedReader(
                                new InputStreamReader(
                                        send("STA").getInputStream(), StandardCharsets.US_ASCII))
                        .readLine());
    }
}
