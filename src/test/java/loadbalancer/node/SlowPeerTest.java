package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.peer.Sockets.Client;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The program between peers that read or write large messages slowly, or stop doing so. */
class SlowPeerTest extends ChildProgramFixture {
    /** A response that comes later than this after the client's time is lost. */
    private static final long LATE_MILLIS = 500;

    private static final int TIME_LEFT_MILLIS = 800;
    private static final long FOR_EVER_MILLIS = 60_000;

    private InetSocketAddress address;
    private RawEndpoint endpoint;

    @AfterEach
    void closeEndpoint() throws IOException {
        if (endpoint != null) {
            endpoint.close();
        }
    }

    private void startProgram(RawEndpoint.Handler handler) throws Exception {
        endpoint = new RawEndpoint(handler);
        address = freeAddress();
        listen = text(address);
        String list = list(41, true, entry("s-0", text(endpoint.address()), "Ready"));
        startProgram(writeConfiguration(list, server(HANG)), List.of());
    }

    private String uploadHead(String framing) {
        return request("POST", "submit", Integer.toString(TIME_LEFT_MILLIS), "")
                .replace("Content-Length: 3\r\n\r\nbid", framing + "\r\n\r\n");
    }

    /** Uploads a body of zeros and returns the milliseconds from its last byte to the response. */
    private long uploadAndAwaitResponse(int bytes, boolean isChunked) throws Exception {
        try (Client client = new Client(address)) {
            client.write(
                    uploadHead(
                            isChunked ? "Transfer-Encoding: chunked" : "Content-Length: " + bytes));
            OutputStream out = client.socket.getOutputStream();
            if (isChunked) {
                client.write(Integer.toHexString(bytes) + "\r\n");
            }
            out.write(new byte[bytes]);
            if (isChunked) {
                client.write("\r\n0\r\n\r\n");
            }
            long sentNanos = System.nanoTime();
            client.read();
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        }
    }

    /** Guards against an upload that is taken for one that its client is still sending. */
    @ParameterizedTest
    @CsvSource({
        "200000, 8926, false",
        "1301881, 8926, false",
        "1308641, 31083, false",
        "3000000, 8926, false",
        "6000000, 8926, false",
        "6000000, 31083, true"
    })
    void uploadToAnEndpointThatStopsReadingIsAnsweredInTime(
            int bytes, int readBytes, boolean isChunked) throws Exception {
        startProgram(
                (head, in, socket) -> {
                    in.readNBytes(readBytes);
                    Thread.sleep(FOR_EVER_MILLIS);
                    return false;
                });
        long millis = uploadAndAwaitResponse(bytes, isChunked);
        assertTrue(millis <= TIME_LEFT_MILLIS + LATE_MILLIS, millis + " ms");
    }

    /** Guards against a time limit that starts anew with each part that an endpoint reads. */
    @ParameterizedTest
    @CsvSource({"1300000, 400000", "16000000, 4000000"})
    void uploadToAnEndpointThatReadsSlowlyIsAnsweredInTime(int bytes, int bytesPerSecond)
            throws Exception {
        startProgram(
                (head, in, socket) -> {
                    readSlowly(in, bytes, bytesPerSecond);
                    socket.getOutputStream().write(ok("Content-Length: 0\r\n\r\n"));
                    return true;
                });
        long millis = uploadAndAwaitResponse(bytes, false);
        assertTrue(millis <= TIME_LEFT_MILLIS + LATE_MILLIS, millis + " ms");
    }

    private static void readSlowly(InputStream in, int bytes, int bytesPerSecond) throws Exception {
        int perTick = bytesPerSecond / 50;
        for (int read = 0; read < bytes; read += perTick) {
            in.readNBytes(Math.min(perTick, bytes - read));
            Thread.sleep(20);
        }
    }

    private static byte[] ok(String rest) {
        return ("HTTP/1.1 200 OK\r\n" + rest).getBytes(StandardCharsets.US_ASCII);
    }

    /** Guards against a long response that is cut off at the client's deadline. */
    @ParameterizedTest
    @ValueSource(
            strings = {"Content-Length: 120000", "Transfer-Encoding: chunked", "Connection: close"})
    void longResponseThatIsWrittenSlowlyIsPassedOnWhole(String framing) throws Exception {
        boolean isChunked = framing.endsWith("chunked");
        startProgram(
                (head, in, socket) -> {
                    in.readNBytes(3);
                    writeSlowly(socket, framing, isChunked);
                    return framing.startsWith("Content-Length");
                });
        try (Client client = new Client(address)) {
            client.write(
                    request(
                            "POST",
                            "submit",
                            Integer.toString(TIME_LEFT_MILLIS),
                            "Connection: close\r\n"));
            long sentNanos = System.nanoTime();
            InputStream in = client.socket.getInputStream();
            String begin = new String(in.readNBytes(12), StandardCharsets.US_ASCII);
            long firstMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
            String rest = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            assertEquals("HTTP/1.1 200", begin);
            assertTrue(firstMillis <= TIME_LEFT_MILLIS + LATE_MILLIS, firstMillis + " ms");
            assertEquals(120_000, rest.chars().filter(c -> c == 'y').count());
            assertTrue(
                    rest.contains("ontent-") && !rest.contains("chunked")
                            || rest.endsWith("0\r\n\r\n"),
                    "the client can tell that it is whole");
        }
    }

    private static void writeSlowly(Socket socket, String framing, boolean isChunked)
            throws Exception {
        OutputStream out = socket.getOutputStream();
        out.write(ok(framing + "\r\n\r\n"));
        String piece = "y".repeat(1_500);
        for (int i = 0; i < 80; i++) {
            String bytes =
                    isChunked
                            ? Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n"
                            : piece;
            out.write(bytes.getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(25);
        }
        if (isChunked) {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    /**
     * Guards against a long response that is cut off while its client reads it slowly: the kernel
     * of the client may take nothing for many seconds although the client reads all the time.
     */
    @ParameterizedTest
    @ValueSource(ints = {24_000_000})
    void longResponseToAClientThatReadsSlowlyIsPassedOnWhole(int bytes) throws Exception {
        startProgram(
                (head, in, socket) -> {
                    in.readNBytes(3);
                    socket.getOutputStream().write(ok("Content-Length: " + bytes + "\r\n\r\n"));
                    socket.getOutputStream().write(new byte[bytes]);
                    return true;
                });
        try (Client client = new Client(address)) {
            client.write(request("POST", "submit", "9000", "Connection: close\r\n"));
            InputStream in = client.socket.getInputStream();
            int read = in.readNBytes(12_000_000).length;
            for (int i = 0; i < 200; i++) {
                Thread.sleep(50); // reads 64 kB a second for 10 s
                read += in.readNBytes(3_200).length;
            }
            read += in.readAllBytes().length;
            assertTrue(read > bytes, read + " of " + bytes + " bytes and a head");
        }
    }
}
