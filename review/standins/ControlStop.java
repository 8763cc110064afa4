import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A balancer takes its list from control, which has nothing for its service yet. It serves from the
 * list of its configuration, and is then told to stop. SIGKILL comes when the protocol page has it.
 */
public final class ControlStop implements Scenario {
    private static final int CLIENTS = 20;
    private static final int CALM_SECONDS = 4;

    /** The longest deadline, counted as 3 s, 0.7 s, and the 50 ms that the page adds to each limit. */
    private static final long KILL_MILLIS = 3_750;

    /** New connections go on coming for so long after SIGTERM. */
    private static final long NEW_CONNECTIONS_MILLIS = 300;

    /** What SIGKILL finds unanswered is lost if it came later than this after SIGTERM. */
    private static final long LOST_FROM_MILLIS = 750;

    private final AtomicInteger atKnown = new AtomicInteger();
    private final AtomicInteger atNew = new AtomicInteger();
    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private Record record;
    private Path root;
    private Path folder;
    private volatile double stoppedAt = Double.MAX_VALUE;
    private volatile double killedAt = Double.MAX_VALUE;
    private volatile boolean ended;

    public static void main(String[] args) {
        Scenario.run(args, new ControlStop());
    }

    @Override
    public int play(Path theRoot, Path theFolder, Record theRecord, boolean hasTrouble) throws Exception {
        root = theRoot;
        folder = theFolder;
        record = theRecord;
        Server u0 = new Server(0, (socket, in) -> upstream("u0", atKnown, socket, in));
        Server u1 = new Server(0, (socket, in) -> upstream("u1", atNew, socket, in));
        String writer = "127.0.0.1:" + Balancer.freePort();
        startWriter(writer);
        boolean isServiceFirst = "1".equals(System.getenv("SERVICE_FIRST"));
        if (isServiceFirst) {
            change(writer, u1.address());
        }
        String listen = "127.0.0.1:" + Balancer.freePort();
        try (Balancer balancer = balancer(listen, writer, u0.address())) {
            if (!balancer.awaitReady(30_000)) {
                record.say("the balancer is not ready: %s", balancer.log());
                return 2;
            }
            for (int i = 0; i < CLIENTS; i++) {
                Server.start("client", () -> client(listen));
            }
            Discovery.pause(CALM_SECONDS * 1_000);
            if (!isServiceFirst) {
                change(writer, u1.address());
            }
            int knownBefore = atKnown.get();
            int newBefore = atNew.get();
            Discovery.pause(12_000);
            record.say(
                    "in the 12 s after the change (not judged): %d requests to u0 of the configuration, %d to u1 of control",
                    atKnown.get() - knownBefore, atNew.get() - newBefore);
            if (served.get() == 0) {
                record.say("nothing was served");
                return 2;
            }
            boolean hasEnded = true;
            if (hasTrouble) {
                stoppedAt = Record.millis();
                record.note("SIGTERM");
                balancer.signal("TERM");
                hasEnded = balancer.process().waitFor(KILL_MILLIS, TimeUnit.MILLISECONDS);
                record.note(hasEnded ? "the process has ended" : "SIGKILL");
                killedAt = hasEnded ? killedAt : Record.millis();
                balancer.process().destroyForcibly().waitFor();
            }
            ended = true;
            Discovery.pause(500);
            record.note("the balancer's log:%n%s", balancer.log());
            record.say(
                    "%d served, %d not served, %d lost at SIGKILL; %s",
                    served.get(), notServed.get(), lost.get(),
                    !hasTrouble ? "not told to stop" : hasEnded ? "the process ended by itself" : "SIGKILL had to end the process");
            return lost.get() > 0 ? 1 : 0;
        }
    }

    private void startWriter(String listen) throws IOException {
        Path file = folder.resolve("w.toml");
        Files.writeString(
                file,
                "role = \"writer\"\nname = \"w\"\nlisten = \"" + listen + "\"\nfolder = \"" + folder.resolve("w") + "\"\n");
        control(folder.resolve("w.log"), "serve", file.toString());
        for (int i = 0; i < 100; i++) {
            try {
                Balancer.connect(listen).close();
                return;
            } catch (IOException e) {
                Discovery.pause(100);
            }
        }
        throw new IOException("the writer does not listen");
    }

    private Process control(Path log, String... arguments) throws IOException {
        List<String> command =
                new ArrayList<>(List.of("java", "-Xmx256m", "-jar", "target/load-balancer.jar", "control"));
        command.addAll(List.of(arguments));
        Process process =
                new ProcessBuilder(command)
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile())
                        .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return process;
    }

    /** Makes the service with one upstream. */
    private void change(String writer, String upstream) throws Exception {
        Path file = folder.resolve("c1.json");
        Files.writeString(
                file,
                "{\"id\":\"c1\",\"put\":[{\"kind\":\"service\",\"name\":\"shop\",\"zones\":[],\"upstreamKinds\":[]},"
                        + "{\"kind\":\"upstream\",\"service\":\"shop\",\"name\":\"u1\",\"address\":\"" + upstream
                        + "\",\"zone\":\"sala-nord\",\"upstreamKind\":\"fast\",\"cell\":0,\"state\":\"ready\","
                        + "\"weight\":1,\"startedMs\":0}],\"delete\":[]}");
        Path out = folder.resolve("change.out");
        Process process = control(out, "change", "--to", writer, file.toString());
        if (!process.waitFor(20, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
        record.say("change c1: %s", Files.readString(out, StandardCharsets.UTF_8).strip());
    }

    private Balancer balancer(String listen, String writer, String known) throws IOException {
        Path operator = folder.resolve("operator.toml");
        Files.writeString(
                operator,
                "[control]\nname = \"lb-1\"\nservice = \"shop\"\nservers = [\"" + writer + "\"]\nlist = \"control\"\n");
        String ops = "127.0.0.1:" + Balancer.freePort();
        String nobody = "127.0.0.1:" + Balancer.freePort();
        String entry =
                "{\"id\":\"u0\",\"addr\":\"" + known + "\",\"zone\":\"sala-nord\",\"kind\":\"fast\",\"cell\":0,"
                        + "\"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0}";
        String config =
                Balancer.config(listen, nobody, ops, 1024, List.of(Balancer.LOOKUP, Balancer.PUSH))
                        .replace("\"version\":0,\"full\":true,\"servers\":[]",
                                "\"version\":41,\"full\":true,\"servers\":[" + entry + "]");
        return Balancer.start(
                root, folder, "n1", listen, config, Map.of("NODE_OPERATOR", operator.toString()));
    }

    private void upstream(String id, AtomicInteger count, Socket socket, InputStream in) throws Exception {
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            String name = request.header("X-Correlation-Id");
            count.incrementAndGet();
            record.note("%s ran %s", id, name);
            Thread.sleep(150);
            socket.getOutputStream()
                    .write(Http.answer("200 OK", "X-Backend-Load: cpu=0.30,rps=30\r\n", "answer to " + name));
        }
    }

    /** Keeps its connection; once the balancer has ended that after SIGTERM, it goes elsewhere. */
    private void client(String listen) {
        Socket socket = null;
        while (!ended) {
            boolean isNew = socket == null;
            if (isNew && Record.millis() > stoppedAt + NEW_CONNECTIONS_MILLIS) {
                return;
            }
            String name = "r" + number.incrementAndGet();
            double sentAt = Double.NaN;
            try {
                socket = isNew ? Balancer.connect(listen) : socket;
                socket.setSoTimeout(5_500);
                String head =
                        "GET /disponibilita?key=" + name + " HTTP/1.1\r\nHost: app.svc\r\nX-Account: acme\r\n"
                                + "X-Service-Class: disponibilita\r\nX-Correlation-Id: " + name
                                + "\r\nX-Time-Left-Ms: 5000\r\n\r\n";
                socket.getOutputStream().write(Http.ascii(head));
                sentAt = Record.millis();
                Http.Message answer = Http.read(Http.buffered(socket.getInputStream()));
                if (answer == null) {
                    throw new IOException("the connection ended without an answer");
                }
                record.note("%s: %d", name, answer.status());
                (answer.status() == 200 ? served : notServed).incrementAndGet();
                if (!answer.keepsAlive()) {
                    socket.close();
                    socket = null;
                }
                Discovery.pause(20);
            } catch (IOException e) {
                close(socket);
                socket = null;
                boolean isLost = sentAt > stoppedAt + LOST_FROM_MILLIS && sentAt < killedAt && isKilled();
                record.note("%s: %s %s", name, isLost ? "LOST" : "goes elsewhere,", e);
                if (isLost) {
                    lost.incrementAndGet();
                }
            }
        }
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // closed all the same
        }
    }

    /** Whether SIGKILL has ended the process, and not the balancer this connection. */
    private boolean isKilled() {
        return Record.millis() >= killedAt;
    }
}
