package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Server;
import loadbalancer.faults.process.program.Program;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.snapshot.Storage;
import loadbalancer.transport.ListeningAddress;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Signals at every point of a start, and starts that cannot be. */
class StartCrossingsTest extends OnSockets {
    /** What a start asks of its surroundings, in this order: the test cuts in there. */
    private enum Step {
        TRANSPORT,
        DISK,
        MODULES,
        MODULE,
        LISTENER,
        SERVING
    }

    private final Map<String, Runnable> handlers = new ConcurrentHashMap<>();
    private final BlockingQueue<Integer> exits = new LinkedBlockingQueue<>();
    private final List<EventLoop> loops = new CopyOnWriteArrayList<>();
    private final List<Step> steps = new CopyOnWriteArrayList<>();
    private final ByteArrayOutputStream said = new ByteArrayOutputStream();
    private final List<Process> children = new ArrayList<>();

    @AfterEach
    void endLoopsAndChildren() {
        loops.forEach(loop -> loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS));
        children.forEach(Process::destroyForcibly);
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + free.getLocalPort();
        }
    }

    /** Writes a configuration of a balancer that has not started. */
    private Path config(Server discovery, Server... upstreams) throws Exception {
        listen = freeAddress();
        return write(ready(upstreams), discovery);
    }

    private String text() {
        return said.toString(StandardCharsets.UTF_8);
    }

    /** Runs a start in this JVM, with signals of the test's own. */
    private int run(Path file, Map<Step, Runnable> at) {
        PrintStream err =
                new PrintStream(said, true, StandardCharsets.UTF_8) {
                    @Override
                    public void println(String line) {
                        super.println(line);
                        if (line.startsWith("serving")) {
                            reach(Step.SERVING, at);
                        }
                    }
                };
        return Main.run(
                new String[] {"serve"},
                file.toString(),
                err,
                new Environment() {
                    @Override
                    public Transport transport(EventLoop loop) {
                        loops.add(loop);
                        reach(Step.TRANSPORT, at);
                        return new Seam(loop, () -> reach(Step.LISTENER, at));
                    }

                    @Override
                    public Storage storage(Path folder) {
                        throw new IllegalStateException("no folder was named");
                    }

                    @Override
                    public LoadBalancerFactory policies() {
                        reach(Step.MODULES, at);
                        return (settings, seed, out) -> {
                            reach(Step.MODULE, at);
                            return LoadBalancerFactory.BALANCE.create(settings, seed, out);
                        };
                    }
                },
                (name, body) -> {
                    handlers.put(name, body);
                    return true;
                },
                exits::add);
    }

    private void reach(Step step, Map<Step, Runnable> at) {
        steps.add(step);
        at.getOrDefault(step, () -> {}).run();
    }

    /** Real sockets, and a word when the listener is made. */
    private record Seam(EventLoop loop, Runnable atListener) implements Transport {
        private SocketTransport real() {
            return new SocketTransport(loop);
        }

        @Override
        public long nanoTime() {
            return real().nanoTime();
        }

        @Override
        public long wallMillis() {
            return real().wallMillis();
        }

        @Override
        public RandomGenerator random() {
            return real().random();
        }

        @Override
        public Channel outgoing() {
            return real().outgoing();
        }

        @Override
        public void readNow(Channel channel) {
            real().readNow(channel);
        }

        @Override
        public ListeningAddress listening() {
            atListener.run();
            return real().listening();
        }

        @Override
        public ListeningAddress listeningAlone() {
            return real().listeningAlone();
        }
    }

    private boolean accepts() {
        try (Client late = new Client(address())) {
            return late.socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(listen.split(":")[1]));
    }

    /** Before the address is taken nothing was taken, and a start told to stop ends at once. */
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"TRANSPORT", "MODULES", "MODULE"})
    void toldToStopBeforeItListensItNeverDoes(Step when) throws Exception {
        Path file = config(server(HANG), server(SERVE));
        assertEquals(0, run(file, Map.of(when, () -> handlers.get("TERM").run())));
        assertEquals(0, Sockets.next(exits));
        assertFalse(steps.contains(Step.LISTENER));
        assertFalse(accepts());
        assertEquals("stopping\nstopped\n", text());
        handlers.get("TERM").run();
        assertNull(exits.poll(), "told twice, it ends once");
    }

    /** From the moment at which clients can get in, a stop is one with clients. */
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"LISTENER", "SERVING"})
    void toldToStopOnceItListensItAnswersAllThatCame(Step when) throws Exception {
        Server upstream = server(SERVE);
        Path file = config(server(HANG), upstream);
        AtomicLong told = new AtomicLong();
        assertEquals(
                0,
                run(
                        file,
                        Map.of(
                                when,
                                () -> {
                                    told.set(System.nanoTime());
                                    handlers.get("TERM").run();
                                    handlers.get("INT").run();
                                })));
        try (Client client = new Client(address())) {
            assertEquals(200, client.write(submit()).read().status());
        } catch (ConnectException e) {
            long after = System.nanoTime() - told.get();
            assertTrue(
                    after >= TimeUnit.MILLISECONDS.toNanos(ShutdownTimings.ACCEPT_MS),
                    "refused too soon");
        }
        assertEquals(0, Sockets.next(exits));
        assertFalse(accepts());
        assertNull(exits.poll(), "told twice, it ends once");
        assertEquals(when == Step.SERVING, text().startsWith("serving"), text());
        assertTrue(text().endsWith("stopping\nstopped\n"), text());
    }

    /** One that replaces another waits for the list first. */
    @Test
    void toldToStopWhileItWaitsForTheListItEndsAtOnce() throws Exception {
        BlockingQueue<Boolean> asked = new LinkedBlockingQueue<>();
        Path file = config(server((m, s) -> asked.add(true)));
        SiblingProcess first = FileLockSibling.join(temporary(), address());
        first.setListening(true);
        Thread start = new Thread(() -> exits.add(run(file, Map.of()) + 100));
        start.start();
        Sockets.next(asked);
        handlers.get("TERM").run();
        List<Integer> both = List.of(Sockets.next(exits), Sockets.next(exits));
        assertTrue(both.containsAll(List.of(0, 100)), both.toString());
        assertFalse(steps.contains(Step.LISTENER));
        first.close();
    }

    private static Path temporary() {
        String told = System.getenv("TMPDIR");
        return Path.of(
                told == null || told.isEmpty() ? System.getProperty("java.io.tmpdir") : told);
    }

    /**
     * A file written while the node is being made is read by it, or again after it: never neither.
     */
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"TRANSPORT", "MODULE", "LISTENER", "SERVING"})
    void hangUpAtAnyPointOfTheStartIsHeard(Step when) throws Exception {
        Server before = server(HANG);
        Server after = server(HANG);
        Path file = config(before, server(SERVE));
        assertEquals(
                0,
                run(
                        file,
                        Map.of(
                                when,
                                () -> {
                                    try {
                                        Files.writeString(
                                                file,
                                                Files.readString(file)
                                                        .replace(before.addr(), after.addr()));
                                    } catch (IOException e) {
                                        throw new IllegalStateException(e);
                                    }
                                    handlers.get("HUP").run();
                                })));
        Sockets.next(after.requests);
        assertTrue(exits.isEmpty());
    }

    // ---- The program itself
    // ----------------------------------------------------------------------------

    private Process program(Path config, Map<String, String> more, String... options)
            throws IOException {
        List<String> command =
                new ArrayList<>(Program.ofClassPath(System.getProperty("java.class.path")).plain());
        command.addAll(1, List.of(options));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
        if (config != null) {
            builder.environment().put("NODE_CONFIG", config.toString());
        }
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().putAll(more);
        Process child = builder.redirectError(folder.resolve("log").toFile()).start();
        children.add(child);
        return child;
    }

    private void signal(Process child, String signal) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + signal, Long.toString(child.pid()))
                        .start()
                        .waitFor());
    }

    private static int exit(Process child) throws InterruptedException {
        assertTrue(child.waitFor(Sockets.PATIENCE_S, TimeUnit.SECONDS), "does not end");
        return child.exitValue();
    }

    /**
     * The file is a pipe, which keeps the start where it reads its configuration until the test
     * writes.
     */
    @Test
    void signalWhileTheConfigurationIsReadIsAnEndInOrder() throws Exception {
        Path pipe = folder.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        Process child = program(pipe, Map.of());
        OutputStream held = Files.newOutputStream(pipe); // returns once the other side reads
        signal(child, "HUP"); // nothing to read again yet: no reason to end
        signal(child, "TERM");
        assertEquals(0, exit(child));
        held.close();
        assertEquals("stopping\nstopped\n", Files.readString(folder.resolve("log")));
    }

    /**
     * All of it at once: a reload, the stop while that may go on, told again, and a reload in the
     * stop.
     */
    @Test
    void programToldToStopInTheMiddleOfAReloadAnswersAllAndEndsWell() throws Exception {
        Server discovery = server(HANG);
        Server upstream = server(SERVE);
        Path file = config(discovery, upstream);
        Files.writeString(
                file, Files.readString(file).replace("\"give-up-s\":20", "\"give-up-s\":1"));
        Process child = program(file, Map.of());
        Sockets.next(discovery.requests);
        while (!accepts()) {
            assertTrue(child.isAlive());
        }
        try (Client kept = new Client(address())) {
            assertEquals(200, kept.write(submit()).read().status());
            for (String signal : List.of("HUP", "TERM", "HUP", "TERM")) {
                signal(child, signal);
            }
            Message m = kept.write(submit()).read();
            while (m != null && !m.headers().containsKey("connection")) {
                assertEquals(200, m.status());
                m = kept.write(submit()).read();
            }
            // A process that gets no processor for long may have no time left but for the last
            // answer.
            assertTrue(m == null || m.status() == 200 || m.status() == 504, "ends with a refusal");
        }
        assertEquals(0, exit(child));
    }

    /** Without it a start only takes longer. */
    @Test
    void archiveThatCannotBeUsedIsNoReasonNotToStart() throws Exception {
        Path archive = Files.writeString(folder.resolve("classes.jsa"), "not an archive");
        Server discovery = server(HANG);
        Process child =
                program(
                        config(discovery, server(SERVE)),
                        Map.of(),
                        "-XX:SharedArchiveFile=" + archive);
        Sockets.next(discovery.requests);
        assertTrue(child.isAlive());
    }

    /** One plain line, and a code that says so. */
    @ParameterizedTest
    @ValueSource(strings = {"no NODE_CONFIG", "port taken", "bad operator's file"})
    void programThatCannotStartEndsInOneLine(String why) throws Exception {
        Server taken = server(HANG);
        Path file = config(server(HANG), server(SERVE));
        Files.writeString(file, Files.readString(file).replace(listen, taken.addr()));
        Path operator =
                Files.writeString(
                        folder.resolve("operator.toml"), "[log]\nformat = \"none such\"\n");
        Process child =
                program(
                        why.equals("no NODE_CONFIG") ? null : file,
                        why.equals("port taken")
                                ? Map.of()
                                : Map.of("NODE_OPERATOR", operator.toString()));
        assertEquals(1, exit(child));
        assertOneLine(Files.readString(folder.resolve("log")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"no file", "a folder", "no text", "half a file", "door taken"})
    void startThatCannotBeSaysSoInOneLine(String why) throws Exception {
        Server taken = server(HANG);
        Path file = config(server(HANG), server(SERVE));
        String good = Files.readString(file);
        switch (why) {
            case "no file" -> file = folder.resolve("missing");
            case "a folder" -> file = folder;
            case "no text" -> Files.write(file, new byte[] {0, -1, -2});
            case "half a file" -> Files.writeString(file, good.substring(0, 300));
            default ->
                    Files.writeString(
                            file,
                            good.replace(
                                    "{\"name\"", "{\"ops\":\"" + taken.addr() + "\",\"name\""));
        }
        assertEquals(1, run(file, Map.of()));
        assertOneLine(text());
        assertTrue(exits.isEmpty());
    }

    private static void assertOneLine(String said) {
        assertTrue(said.startsWith("can't serve: "), said);
        assertEquals(1, said.lines().count(), said);
    }
}
