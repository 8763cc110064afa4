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
import java.net.InetSocketAddress;
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
import loadbalancer.transport.ListeningChannel;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Signals at each step of a startup, and startups that fail. */
class StartupTest extends LoopbackNodeFixture {
    /** Steps of a startup, in their order, at which a test can intervene. */
    private enum Step {
        TRANSPORT,
        DISK,
        POLICY_FACTORY,
        POLICY,
        LISTENER,
        SERVING
    }

    private final Map<String, Runnable> handlers = new ConcurrentHashMap<>();
    private final BlockingQueue<Integer> exits = new LinkedBlockingQueue<>();
    private final List<EventLoop> loops = new CopyOnWriteArrayList<>();
    private final List<Step> steps = new CopyOnWriteArrayList<>();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final List<Process> children = new ArrayList<>();

    @AfterEach
    void endLoopsAndChildren() {
        loops.forEach(loop -> loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS));
        children.forEach(Process::destroyForcibly);
    }

    /** Writes the configuration of a balancer without starting it. */
    private Path config(Server discovery, Server... upstreams) throws Exception {
        listen = text(freeAddress());
        return writeConfiguration(ready(upstreams), discovery);
    }

    private String outputText() {
        return output.toString(StandardCharsets.UTF_8);
    }

    /** Runs a startup in this JVM, with signal handlers that the test calls. */
    private int run(Path file, Map<Step, Runnable> at) {
        PrintStream err =
                new PrintStream(output, true, StandardCharsets.UTF_8) {
                    @Override
                    public void println(String line) {
                        super.println(line);
                        if (line.startsWith("serving")) {
                            stepReached(Step.SERVING, at);
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
                        stepReached(Step.TRANSPORT, at);
                        return new NotifyingTransport(loop, () -> stepReached(Step.LISTENER, at));
                    }

                    @Override
                    public Storage storage(Path folder) {
                        throw new IllegalStateException("no state folder is configured");
                    }

                    @Override
                    public LoadBalancerFactory loadBalancers() {
                        stepReached(Step.POLICY_FACTORY, at);
                        return (settings, seed, out) -> {
                            stepReached(Step.POLICY, at);
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

    private void stepReached(Step step, Map<Step, Runnable> at) {
        steps.add(step);
        at.getOrDefault(step, () -> {}).run();
    }

    /** Real sockets, with a callback when the listener is created. */
    private record NotifyingTransport(EventLoop loop, Runnable onListenerCreated)
            implements Transport {
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
        public MemoryQuota memoryQuota() {
            return MemoryQuota.unlimited();
        }

        @Override
        public Channel newOutboundChannel() {
            return real().newOutboundChannel();
        }

        @Override
        public void readAvailable(Channel channel) {
            real().readAvailable(channel);
        }

        @Override
        public ListeningChannel newListener() {
            onListenerCreated.run();
            return real().newListener();
        }

        @Override
        public ListeningChannel newExclusiveListener() {
            return real().newExclusiveListener();
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

    /** Before the address is bound there are no clients, and a stop ends the startup at once. */
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"TRANSPORT", "POLICY_FACTORY", "POLICY"})
    void neverListensIfStoppedBefore(Step when) throws Exception {
        Path file = config(server(HANG), server(SERVE));
        assertEquals(0, run(file, Map.of(when, () -> handlers.get("TERM").run())));
        assertEquals(0, Sockets.next(exits));
        assertFalse(steps.contains(Step.LISTENER));
        assertFalse(accepts());
        assertEquals("stopping\nstopped\n", outputText());
        handlers.get("TERM").run();
        assertNull(exits.poll(), "two signals cause one exit");
    }

    /** Once clients can connect, a stop has to serve them. */
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"LISTENER", "SERVING"})
    void answersAllClientsIfStoppedOnceListening(Step when) throws Exception {
        Server upstream = server(SERVE);
        Path file = config(server(HANG), upstream);
        AtomicLong stoppedAtNanos = new AtomicLong();
        assertEquals(
                0,
                run(
                        file,
                        Map.of(
                                when,
                                () -> {
                                    stoppedAtNanos.set(System.nanoTime());
                                    handlers.get("TERM").run();
                                    handlers.get("INT").run();
                                })));
        try (Client client = new Client(address())) {
            assertEquals(200, client.write(submit()).read().status());
        } catch (ConnectException e) {
            long after = System.nanoTime() - stoppedAtNanos.get();
            assertTrue(
                    after >= TimeUnit.MILLISECONDS.toNanos(ShutdownTimings.ACCEPT_MS),
                    "connection refused too soon");
        }
        assertEquals(0, Sockets.next(exits));
        assertFalse(accepts());
        assertNull(exits.poll(), "two signals cause one exit");
        assertEquals(when == Step.SERVING, outputText().startsWith("serving"), outputText());
        assertTrue(outputText().endsWith("stopping\nstopped\n"), outputText());
    }

    /** A process that replaces another one waits for the endpoint list before it listens. */
    @Test
    void exitsAtOnceIfStoppedWhileWaitingForList() throws Exception {
        BlockingQueue<Boolean> listRequested = new LinkedBlockingQueue<>();
        Path file = config(server((m, s) -> listRequested.add(true)));
        SiblingProcess first = FileLockSibling.join(temporary(), address());
        first.setListening(true);
        Thread start = new Thread(() -> exits.add(run(file, Map.of()) + 100));
        start.start();
        Sockets.next(listRequested);
        handlers.get("TERM").run();
        List<Integer> both = List.of(Sockets.next(exits), Sockets.next(exits));
        assertTrue(both.containsAll(List.of(0, 100)), both.toString());
        assertFalse(steps.contains(Step.LISTENER));
        first.close();
    }

    private static Path temporary() {
        String configured = System.getenv("TMPDIR");
        return Path.of(
                configured == null || configured.isEmpty()
                        ? System.getProperty("java.io.tmpdir")
                        : configured);
    }

    /**
     * A configuration file that is written during a startup is read by the startup or by a reload
     * after it.
     */
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"TRANSPORT", "POLICY", "LISTENER", "SERVING"})
    void reloadsAfterHangUpAtAnyStep(Step when) throws Exception {
        Server oldDiscovery = server(HANG);
        Server newDiscovery = server(HANG);
        Path file = config(oldDiscovery, server(SERVE));
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
                                                        .replace(
                                                                oldDiscovery.addr(),
                                                                newDiscovery.addr()));
                                    } catch (IOException e) {
                                        throw new IllegalStateException(e);
                                    }
                                    handlers.get("HUP").run();
                                })));
        Sockets.next(newDiscovery.requests);
        assertTrue(exits.isEmpty());
    }

    // Child processes

    private Process startProgram(Path config, Map<String, String> more, String... options)
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

    private void sendSignal(Process child, String signal) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + signal, Long.toString(child.pid()))
                        .start()
                        .waitFor());
    }

    private static int awaitExit(Process child) throws InterruptedException {
        assertTrue(child.waitFor(Sockets.PATIENCE_S, TimeUnit.SECONDS), "does not end");
        return child.exitValue();
    }

    /**
     * The configuration file is a pipe, which blocks the startup in reading it until the test
     * writes.
     */
    @Test
    void exitsCleanlyIfStoppedWhileReadingConfiguration() throws Exception {
        Path pipe = folder.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        Process child = startProgram(pipe, Map.of());
        OutputStream pipeOutput = Files.newOutputStream(pipe); // returns once the other side reads
        sendSignal(child, "HUP"); // has no effect before the configuration is read
        sendSignal(child, "TERM");
        assertEquals(0, awaitExit(child));
        pipeOutput.close();
        assertEquals("stopping\nstopped\n", Files.readString(folder.resolve("log")));
    }

    /**
     * Sends a reload, a stop while the reload may be running, a reload during the stop, and a
     * second stop.
     */
    @Test
    void answersAllAndExitsCleanlyIfStoppedDuringReload() throws Exception {
        Server discovery = server(HANG);
        Server upstream = server(SERVE);
        Path file = config(discovery, upstream);
        Files.writeString(
                file, Files.readString(file).replace("\"give-up-s\":20", "\"give-up-s\":1"));
        Process child = startProgram(file, Map.of());
        Sockets.next(discovery.requests);
        while (!accepts()) {
            assertTrue(child.isAlive());
        }
        try (Client kept = new Client(address())) {
            assertEquals(200, kept.write(submit()).read().status());
            for (String signal : List.of("HUP", "TERM", "HUP", "TERM")) {
                sendSignal(child, signal);
            }
            Message m = kept.write(submit()).read();
            while (m != null && !m.headers().containsKey("connection")) {
                assertEquals(200, m.status());
                m = kept.write(submit()).read();
            }
            // A process that gets no processor time for long may only have time left to fail the
            // request.
            assertTrue(
                    m == null || m.status() == 200 || m.status() == 504,
                    "unexpected last response");
        }
        assertEquals(0, awaitExit(child));
    }

    /** Without the class data archive a startup only takes longer. */
    @Test
    void startsWithUnusableClassDataArchive() throws Exception {
        Path archive = Files.writeString(folder.resolve("classes.jsa"), "not an archive");
        Server discovery = server(HANG);
        Process child =
                startProgram(
                        config(discovery, server(SERVE)),
                        Map.of(),
                        "-XX:SharedArchiveFile=" + archive);
        Sockets.next(discovery.requests);
        assertTrue(child.isAlive());
    }

    /** The program prints one line and exits with code 1. */
    @ParameterizedTest
    @ValueSource(strings = {"no NODE_CONFIG", "port taken", "bad operator's file"})
    void programPrintsOneLineIfItCannotStart(String fault) throws Exception {
        Server other = server(HANG);
        Path file = config(server(HANG), server(SERVE));
        Files.writeString(file, Files.readString(file).replace(listen, other.addr()));
        Path operator =
                Files.writeString(
                        folder.resolve("operator.toml"), "[log]\nformat = \"none such\"\n");
        Process child =
                startProgram(
                        fault.equals("no NODE_CONFIG") ? null : file,
                        fault.equals("port taken")
                                ? Map.of()
                                : Map.of("NODE_OPERATOR", operator.toString()));
        assertEquals(1, awaitExit(child));
        assertOneLine(Files.readString(folder.resolve("log")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"no file", "a folder", "not text", "truncated file", "admin address taken"})
    void printsOneLineIfStartupFails(String fault) throws Exception {
        Server other = server(HANG);
        Path file = config(server(HANG), server(SERVE));
        String good = Files.readString(file);
        switch (fault) {
            case "no file" -> file = folder.resolve("missing");
            case "a folder" -> file = folder;
            case "not text" -> Files.write(file, new byte[] {0, -1, -2});
            case "truncated file" -> Files.writeString(file, good.substring(0, 300));
            default ->
                    Files.writeString(
                            file,
                            good.replace(
                                    "{\"name\"", "{\"ops\":\"" + other.addr() + "\",\"name\""));
        }
        assertEquals(1, run(file, Map.of()));
        assertOneLine(outputText());
        assertTrue(exits.isEmpty());
    }

    private static void assertOneLine(String output) {
        assertTrue(output.startsWith("can't serve: "), output);
        assertEquals(1, output.lines().count(), output);
    }
}
