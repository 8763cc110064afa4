package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Script;
import loadbalancer.faults.process.peer.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The program with its heap in service, among many peers that make it hold as much memory as one
 * connection may: it goes on, and others get their responses.
 */
class PeerMemoryTest extends ChildProgramFixture {
    private static final long USUAL_MILLIS = 5_000;
    private static final long USUAL_INTERVAL_MILLIS = 20;
    private static final int UPSTREAMS = 4;

    /** Between the 88 and the 208 MB that a deployment gives to two processes. */
    private static final int MEMORY_MEGABYTES = 104;

    private static final long WORK_MILLIS = 100;

    /** Serves after some work, as endpoints do. */
    private static final Script WORK =
            (m, s) -> {
                Thread.sleep(WORK_MILLIS);
                SERVE.on(m, s);
            };

    private final AtomicLong crowdRequests = new AtomicLong();
    private InetSocketAddress address;

    private void startProgram(Script script) throws Exception {
        address = freeAddress();
        listen = text(address);
        Server[] upstreams = new Server[UPSTREAMS];
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams[i] = server(script);
        }
        startProgram(writeConfiguration(ready(upstreams), server(HANG)), List.of());
    }

    private OptionalLong metric(String name) throws IOException {
        return call("STATS")
                .lines()
                .filter(line -> line.startsWith("app." + name + ":"))
                .map(line -> line.substring(line.indexOf(':') + 1, line.indexOf('|')))
                .mapToLong(Long::parseLong)
                .findFirst();
    }

    /** Connections that write all that the balancer takes, on one thread, and read nothing. */
    private static final class Crowd implements AutoCloseable {
        private final List<SocketChannel> channels = new ArrayList<>();
        private final List<Iterator<ByteBuffer>> sources = new ArrayList<>();
        private final List<ByteBuffer> pending = new ArrayList<>();
        private final Thread writer = new Thread(this::writeAll, "crowd");
        private final long pauseMillis;
        private volatile boolean closed;

        Crowd(InetSocketAddress to, int size, Supplier<Iterator<ByteBuffer>> source)
                throws IOException {
            this(to, size, 0, source);
        }

        /** Creates a crowd that pauses after each part of all connections. */
        Crowd(
                InetSocketAddress to,
                int size,
                long pauseMillis,
                Supplier<Iterator<ByteBuffer>> source)
                throws IOException {
            this.pauseMillis = pauseMillis;
            for (int i = 0; i < size; i++) {
                SocketChannel channel = SocketChannel.open(to);
                channel.configureBlocking(false);
                channels.add(channel);
                sources.add(source.get());
                pending.add(ByteBuffer.allocate(0));
            }
            writer.setDaemon(true);
        }

        void start() {
            writer.start();
        }

        private void writeAll() {
            while (!closed) {
                for (int i = 0; i < channels.size(); i++) {
                    write(i);
                }
                pause();
            }
        }

        private void pause() {
            if (pauseMillis > 0) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
            } else {
                Thread.onSpinWait();
            }
        }

        private void write(int index) {
            if (!pending.get(index).hasRemaining() && sources.get(index).hasNext()) {
                pending.set(index, sources.get(index).next());
            }
            try {
                channels.get(index).write(pending.get(index));
            } catch (IOException e) {
                sources.set(index, List.<ByteBuffer>of().iterator()); // closed by the balancer
                pending.set(index, ByteBuffer.allocate(0));
            }
        }

        @Override
        public void close() throws IOException {
            closed = true;
            for (SocketChannel channel : channels) {
                channel.close();
            }
        }
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Fails if the process ends, or if any usual request gets no response. */
    private void assertUsualClientsAreAnswered() throws Exception {
        long held = 0;
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(USUAL_MILLIS);
        for (int i = 0; System.nanoTime() < end; i++) {
            try (Client client = new Client(address)) {
                client.write(request("GET", "look", "2000", ""));
                assertNotNull(client.read(), "no response, " + i + " before it: " + log());
            } catch (IOException e) {
                throw new AssertionError("request " + i + " is lost: " + log(), e);
            }
            held = Math.max(held, metric("peer_memory_bytes").orElse(Long.MAX_VALUE));
            Thread.sleep(USUAL_INTERVAL_MILLIS);
        }
        assertTrue(process.isAlive(), log());
        long limit = metric("peer_memory_limit_bytes").orElseThrow();
        assertTrue(held <= limit, held + " bytes held, limit " + limit);
    }

    /** Guards against an exhausted heap by pipelined requests with bodies, on many connections. */
    @Test
    void pipelinedBodiesOfManyClientsDoNotExhaustTheHeap() throws Exception {
        startProgram(WORK);
        String body = "x".repeat(64_000);
        Supplier<Iterator<ByteBuffer>> uploads =
                () ->
                        IntStream.range(0, 200)
                                .mapToObj(
                                        i ->
                                                bytes(
                                                        upload().replace("bid", body)
                                                                .replace(
                                                                        "Length: 3",
                                                                        "Length: 64000")))
                                .iterator();
        try (Crowd crowd = new Crowd(address, 150, uploads)) {
            crowd.start();
            assertUsualClientsAreAnswered();
        }
    }

    /** Returns a request whose id is not one of the usual clients'. */
    private String upload() {
        return request("POST", "submit", "2000", "")
                .replace("-Id: id-", "-Id: crowd-" + crowdRequests.incrementAndGet() + "-");
    }

    /**
     * Guards against garbage and buffers that exceed the memory of the configuration while clients
     * upload slowly, or stop halfway, and one process replaces another. Counted is what comes on
     * top of two processes at rest, since a test has no archive of classes. Pages of files count
     * for neither process, since both map the same ones.
     */
    @ParameterizedTest
    @CsvSource({"300000, 6400", "1000000, 250000"})
    void bothProcessesOfAHandOverFitIntoTheMemoryOfTheConfiguration(int bodyBytes, int partBytes)
            throws Exception {
        memoryMegabytes = MEMORY_MEGABYTES;
        startProgram(WORK);
        Process former = process;
        long atRest = anonymousKilobytes(former) / 1_024;
        String part = "x".repeat(partBytes);
        Supplier<Iterator<ByteBuffer>> uploads =
                () ->
                        IntStream.rangeClosed(0, bodyBytes / partBytes / 2)
                                .mapToObj(i -> bytes(i == 0 ? uploadHead(bodyBytes) : part))
                                .iterator();
        try (Crowd crowd = new Crowd(address, 400, 100, uploads)) {
            crowd.start();
            long peak = peakMegabytes(List.of(former), 3_000);
            startProgram(folder.resolve("config.json"), List.of());
            atRest += anonymousKilobytes(process) / 1_024;
            former.destroy();
            try (Crowd next = new Crowd(address, 400, 100, uploads)) {
                next.start();
                peak = Math.max(peak, peakMegabytes(List.of(former, process), 3_000));
            }
            long forPeers = MEMORY_MEGABYTES - 2 * MemoryLimits.OWN_MEGABYTES;
            assertTrue(
                    peak - atRest <= forPeers, (peak - atRest) + " MB, limit " + forPeers + " MB");
        } finally {
            former.destroyForcibly();
        }
    }

    private String uploadHead(int bodyBytes) {
        return upload().replace(
                        "Content-Length: 3\r\n\r\nbid",
                        "Content-Length: " + bodyBytes + "\r\n\r\n");
    }

    /** Returns the most that the processes held together within a time, files left out. */
    private static long peakMegabytes(List<Process> processes, long millis) throws Exception {
        long peak = 0;
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            long sum = 0;
            for (Process process : processes) {
                sum += anonymousKilobytes(process);
            }
            peak = Math.max(peak, sum / 1_024);
            Thread.sleep(20);
        }
        return peak;
    }

    /** Returns the memory of a process that belongs to no file; 0 once it has ended. */
    private static long anonymousKilobytes(Process process) throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        try (Stream<String> lines = Files.lines(status)) {
            return lines.filter(line -> line.startsWith("RssAnon:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .sum();
        } catch (NoSuchFileException e) {
            return 0;
        }
    }

    /** Guards against an exhausted heap by heads of many short fields that do not end. */
    @Test
    void unfinishedHeadsOfManyClientsDoNotExhaustTheHeap() throws Exception {
        startProgram(WORK);
        String head =
                IntStream.range(0, 1_200)
                        .mapToObj(i -> Integer.toString(i, 36) + ":b\r\n")
                        .collect(Collectors.joining("", "GET /look HTTP/1.1\r\n", ""));
        Supplier<Iterator<ByteBuffer>> heads = () -> List.of(bytes(head)).iterator();
        try (Crowd crowd = new Crowd(address, 450, heads)) {
            crowd.start();
            assertUsualClientsAreAnswered();
        }
    }

    /** Guards against an exhausted heap by whole heads that are queued behind a request. */
    @Test
    void pipelinedHeadsOfManyClientsDoNotExhaustTheHeap() throws Exception {
        startProgram(WORK);
        String fields =
                IntStream.range(0, 85)
                        .mapToObj(i -> "f" + i + ": " + "v".repeat(80) + "\r\n")
                        .collect(Collectors.joining());
        Supplier<Iterator<ByteBuffer>> requests =
                () ->
                        IntStream.range(0, 200)
                                .mapToObj(i -> bytes(upload().replace("Host:", fields + "Host:")))
                                .iterator();
        try (Crowd crowd = new Crowd(address, 450, requests)) {
            crowd.start();
            assertUsualClientsAreAnswered();
        }
    }

    /** Guards against exhausted memory by responses that many clients do not read. */
    @Test
    void unreadResponsesToManyClientsDoNotExhaustMemory() throws Exception {
        String large = "y".repeat(4 << 20);
        startProgram(
                (m, s) ->
                        Sockets.answer(s, "200 OK", "", m.start().startsWith("GET") ? "" : large));
        Supplier<Iterator<ByteBuffer>> requests = () -> List.of(bytes(upload())).iterator();
        try (Crowd crowd = new Crowd(address, 350, requests)) {
            crowd.start();
            assertUsualClientsAreAnswered();
        }
    }
}
