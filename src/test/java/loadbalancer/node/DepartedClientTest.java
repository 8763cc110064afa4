package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.peer.Sockets.Client;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The program after a client has left: nothing begins for it, and nothing runs twice. */
class DepartedClientTest extends ChildProgramFixture {
    private static final long WORK_MILLIS = 300;

    private InetSocketAddress address;
    private RawEndpoint endpoint;
    private Process successor;

    @AfterEach
    void closePeers() throws IOException {
        if (endpoint != null) {
            endpoint.close();
        }
        if (successor != null) {
            successor.destroyForcibly();
        }
    }

    /** Starts the program with an endpoint that reads a whole request, works and responds. */
    private void startProgram() throws Exception {
        endpoint =
                new RawEndpoint(
                        (head, in, socket) -> {
                            int at = head.indexOf("content-length: ") + "content-length: ".length();
                            String length = head.substring(at, head.indexOf('\r', at));
                            in.readNBytes(Integer.parseInt(length));
                            Thread.sleep(WORK_MILLIS);
                            respond(socket);
                            return true;
                        });
        address = freeAddress();
        listen = text(address);
        String list = list(41, true, entry("s-0", text(endpoint.address()), "Ready"));
        startProgram(writeConfiguration(list, server(HANG)), List.of());
    }

    private static void respond(Socket socket) throws IOException {
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes());
    }

    private void awaitRequestAtEndpoint() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (endpoint.heads.isEmpty()) {
            assertTrue(System.nanoTime() < end, "no request reached the endpoint");
            Thread.sleep(1);
        }
    }

    /** Guards against a close that is not seen behind unread bytes. */
    @ParameterizedTest
    @CsvSource({"2, 200000", "8, 30000", "20, 30000", "12, 60000", "40, 10000"})
    void requestsBehindAnotherAreNotSentAfterTheClientHasLeft(int requests, int bodyBytes)
            throws Exception {
        startProgram();
        try (Client client = new Client(address)) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                all.append(
                        request("POST", "submit", "9000", "")
                                .replace("Content-Length: 3", "Content-Length: " + bodyBytes)
                                .replace("bid", "x".repeat(bodyBytes)));
            }
            Thread writer = new Thread(() -> writeIgnoringFailure(client, all.toString()));
            writer.start();
            writer.join(TimeUnit.SECONDS.toMillis(5));
            awaitRequestAtEndpoint();
        }
        long begun = endpoint.heads.size();
        Thread.sleep(100);
        long within = endpoint.heads.size();
        Thread.sleep(4 * WORK_MILLIS);
        assertTrue(within - begun <= 1, "begun within 0.1 s of the close: " + (within - begun));
        assertEquals(within, endpoint.heads.size(), "begun after the client had left");
    }

    private static void writeIgnoringFailure(Client client, String text) {
        try {
            client.write(text);
        } catch (IOException e) {
            // closed by the program
        }
    }

    /** Guards against a request that runs again under its id after its client has left. */
    @ParameterizedTest
    @ValueSource(longs = {50, 2 * WORK_MILLIS, 2_000})
    void idThatComesAgainAfterItsClientHasLeftIsNotRunAgain(long afterMillis) throws Exception {
        startProgram();
        String request = submit();
        try (Client client = new Client(address)) {
            client.write(request);
            awaitRequestAtEndpoint();
        }
        Thread.sleep(afterMillis);
        try (Client client = new Client(address)) {
            assertEquals(400, client.write(request).read().status());
        }
        assertEquals(1, endpoint.heads.size());
    }

    /** Guards against the same at the process that takes over. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void idThatComesAgainAtTheOtherProcessIsNotRunAgain(boolean clientLeaves) throws Exception {
        startProgram();
        Process former = process;
        try (Client client = new Client(address)) {
            startSuccessor(client);
            successor = process;
            process = former;
            endpoint.heads.clear();
            String request = submit();
            client.write(request);
            awaitRequestAtEndpoint();
            former.destroy();
            if (clientLeaves) {
                client.socket.close();
            }
            Thread.sleep(100);
            try (Client again = new Client(address)) {
                assertEquals(400, again.write(request).read().status());
            }
        }
        assertEquals(1, endpoint.heads.size());
    }

    /**
     * Starts a successor. The client goes on sending to the former process meanwhile, which would
     * end its connection if it rested for longer than a start may take.
     */
    private void startSuccessor(Client client) throws Exception {
        FutureTask<Void> start =
                new FutureTask<>(
                        () -> {
                            startProgram(folder.resolve("config.json"), List.of());
                            return null;
                        });
        new Thread(start).start();
        while (!start.isDone()) {
            assertEquals(200, client.write(submit()).read().status());
        }
        start.get();
    }

    /** A request that was never sent may come again under its id. */
    @Test
    void idOfARequestThatWasNeverSentMayComeAgain() throws Exception {
        startProgram();
        String request = submit().replace("9000", "0");
        try (Client client = new Client(address)) {
            assertEquals(503, client.write(request).read().status());
            String again = request.replace("Left-Ms: 0", "Left-Ms: 9000");
            assertEquals(200, client.write(again).read().status());
        }
    }
}
