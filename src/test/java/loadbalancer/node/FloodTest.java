package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The program while one peer sends the smallest parts at full speed: others are not delayed. */
class FloodTest extends ChildProgramFixture {
    private static final int USUAL_REQUESTS = 20;
    private static final long USUAL_INTERVAL_MILLIS = 50;
    private static final int TIME_LEFT_MILLIS = 500;
    private static final String CHUNKS = "1\r\nx\r\n".repeat(10_000);

    /** A response that comes later than this after the client's time is lost. */
    private static final long LATE_MILLIS = 500;

    private final List<RawEndpoint> endpoints = new ArrayList<>();
    private InetSocketAddress address;

    /** Starts the program with endpoints that serve GET, and treat POST as the handler does. */
    private void startProgram(RawEndpoint.Handler post) throws Exception {
        RawEndpoint.Handler handler =
                (head, in, socket) -> {
                    if (head.startsWith("POST")) {
                        return post.serve(head, in, socket);
                    }
                    Sockets.answer(socket, "200 OK", "", "done");
                    return true;
                };
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            RawEndpoint endpoint = new RawEndpoint(handler);
            endpoints.add(endpoint);
            entries.add(entry("s-" + i, text(endpoint.address()), "Ready"));
        }
        address = freeAddress();
        listen = text(address);
        String list = list(41, true, entries.toArray(String[]::new));
        startProgram(writeConfiguration(list, server(HANG)), List.of());
    }

    @AfterEach
    void closeEndpoints() throws IOException {
        for (RawEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }

    private static boolean readToEnd(InputStream in) throws IOException {
        in.transferTo(OutputStream.nullOutputStream());
        return false;
    }

    private static Thread startThread(Client client, String first) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                client.write(first);
                                while (true) {
                                    client.write(CHUNKS);
                                }
                            } catch (IOException e) {
                                // closed
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void assertOthersAreServedInTime() throws Exception {
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            long sentNanos = System.nanoTime();
            try (Client client = new Client(address)) {
                Message response =
                        client.write(request("GET", "look", Integer.toString(TIME_LEFT_MILLIS), ""))
                                .read();
                assertNotNull(response, "no response: " + log());
                assertEquals(200, response.status());
            }
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
            assertTrue(millis <= TIME_LEFT_MILLIS + LATE_MILLIS, i + ": " + millis + " ms");
            Thread.sleep(USUAL_INTERVAL_MILLIS);
        }
    }

    /** Guards against a body of tiny chunks, each of which was forwarded with a flush. */
    @Test
    void uploadInTinyChunksDoesNotDelayOthers() throws Exception {
        startProgram((head, in, socket) -> readToEnd(in));
        try (Client flooding = new Client(address)) {
            String upload =
                    request("POST", "submit", "9000", "")
                            .replace(
                                    "Content-Length: 3\r\n\r\nbid",
                                    "Transfer-Encoding: chunked\r\n\r\n");
            startThread(flooding, upload);
            assertOthersAreServedInTime();
        }
    }

    /** Guards against the same from an endpoint. */
    @Test
    void responseInTinyChunksDoesNotDelayOthers() throws Exception {
        startProgram(
                (head, in, socket) -> {
                    Sockets.beginChunks(socket);
                    byte[] chunks = CHUNKS.getBytes(StandardCharsets.US_ASCII);
                    while (true) {
                        socket.getOutputStream().write(chunks);
                    }
                });
        try (Client reading = new Client(address)) {
            Thread reader =
                    new Thread(
                            () -> {
                                try {
                                    reading.write(request("POST", "submit", "9000", ""));
                                    while (reading.socket.getInputStream().skip(1 << 16) > 0) {
                                        continue;
                                    }
                                } catch (IOException e) {
                                    // closed
                                }
                            });
            reader.setDaemon(true);
            reader.start();
            assertOthersAreServedInTime();
        }
    }
}
