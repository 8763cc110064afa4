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

/** The operators' door: what is asked is answered, and what can't be asked costs nothing. */
class DoorTest {
    private static final int PATIENCE_MS = 20_000;
    private final ProcessMetrics figures = new ProcessMetrics();
    private final List<Socket> sockets = new ArrayList<>();
    private volatile String whyNot = "";
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private AdminServer door;

    @BeforeEach
    void open() throws IOException {
        door =
                new AdminServer(
                        new SocketTransport(group.next()),
                        new InetSocketAddress("127.0.0.1", 0),
                        figures,
                        () -> whyNot);
    }

    @AfterEach
    void close() throws IOException {
        for (Socket s : sockets) {
            s.close();
        }
        door.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Socket call(String text) throws IOException {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.connect(door.address());
        socket.setSoTimeout(PATIENCE_MS);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** All lines up to the end of the connection. */
    private static List<String> lines(Socket socket) throws IOException {
        return new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                .lines()
                .toList();
    }

    @Test
    void readinessIsToldAsItIs() throws IOException {
        assertEquals(List.of("SUCCESS ready"), lines(call("READY\n")));
        whyNot = "no list yet";
        assertEquals(List.of("FAILURE no list yet"), lines(call("READY\r\n")));
    }

    @Test
    void figuresAreToldOneALineAndEnd() throws IOException {
        figures.register("look");
        figures.requestReceived();
        figures.requestReceived();
        figures.requestReceived();
        figures.attemptWritten();
        figures.requestEnded("submit", Ending.PASSED);
        figures.requestAbandoned();
        figures.setEndpointCounts(12, 2);
        figures.configurationLoaded(true);
        figures.configurationLoaded(false);
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
                lines(call("STATS\n")));
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
    void whatIsNoCallGetsOneLineAndAClose(String text) throws IOException {
        List<String> answer = lines(call(text));
        assertEquals(1, answer.size(), answer.toString());
        assertTrue(answer.get(0).startsWith("FAILURE "), answer.toString());
    }

    @Test
    void callThatEndsWithoutALineEndIsAnswered() throws IOException {
        Socket socket = call("READY");
        socket.shutdownOutput();
        assertEquals(List.of("SUCCESS ready"), lines(socket));
    }

    /** Callers that say nothing take the place of no other, however many they are. */
    @Test
    void silentCallersAreBoundedAndDoNotShutOthersOut() throws IOException {
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 3 * AdminServer.MOST_CALLS; i++) {
            silent.add(call(i % 2 == 0 ? "" : "REA"));
        }
        assertEquals(List.of("SUCCESS ready"), lines(call("READY\n")));
        for (int i = 0; i < 2 * AdminServer.MOST_CALLS; i++) {
            assertEquals(-1, silent.get(i).getInputStream().read(), "the oldest have gone");
        }
    }

    @Test
    void halfACallIsEnded() throws IOException {
        assertNull(
                new BufferedReader(
                                new InputStreamReader(
                                        call("STA").getInputStream(), StandardCharsets.US_ASCII))
                        .readLine());
    }
}
