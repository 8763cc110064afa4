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
 * A writer and two followers, each of which names the writer and the other follower under {@code
 * follow}. The writer's process is killed and started again on its folder. Then a change that it
 * accepts has to come in force at a balancer that subscribes to the followers.
 */
public final class WriterBack implements Scenario {
    private static final int DOWN_SECONDS = 8;
    private static final int SETTLE_SECONDS = 12;

    /** The page's 8 s until a change is in force, 2 s of grace for a drain, and 5 s of slack. */
    private static final int LIMIT_SECONDS = 15;

    private static final int WATCH_SECONDS = 15;

    private final AtomicInteger atFirst = new AtomicInteger();
    private final AtomicInteger atSecond = new AtomicInteger();
    private final AtomicInteger number = new AtomicInteger();
    private Record record;
    private Path root;
    private Path folder;
    private volatile boolean stopping;

    public static void main(String[] args) {
        Scenario.run(args, new WriterBack());
    }

    @Override
    public int play(Path theRoot, Path theFolder, Record theRecord, boolean hasTrouble) throws Exception {
        root = theRoot;
        folder = theFolder;
        record = theRecord;
        String writer = "127.0.0.1:" + Balancer.freePort();
        String first = "127.0.0.1:" + Balancer.freePort();
        String second = "127.0.0.1:" + Balancer.freePort();
        Path writerFile = file("w", "writer", writer, "");
        Process writing = control(writerFile, writer);
        control(file("f1", "follower", first, follow(writer, second)), first);
        control(file("f2", "follower", second, follow(writer, first)), second);

        Server u0 = new Server(0, (socket, in) -> upstream("u0", atFirst, socket, in));
        Server u1 = new Server(0, (socket, in) -> upstream("u1", atSecond, socket, in));
        String service = "{\"kind\":\"service\",\"name\":\"shop\",\"zones\":[],\"upstreamKinds\":[]}";
        change(writer, "c1", service + "," + put("u0", u0.address(), "ready"));

        String listen = "127.0.0.1:" + Balancer.freePort();
        try (Balancer balancer = balancer(listen, first, second)) {
            if (!balancer.awaitReady(30_000)) {
                record.say("the balancer is not ready: %s", balancer.log());
                return 2;
            }
            Server.start("client", () -> client(listen));
            Discovery.pause(3_000);
            if (hasTrouble) {
                record.note("the writer's process is killed");
                writing.destroyForcibly().waitFor();
                Discovery.pause(DOWN_SECONDS * 1_000);
                record.note("the writer is started again on its folder");
                control(writerFile, writer);
            }
            Discovery.pause(SETTLE_SECONDS * 1_000);
            status("before the change", writer, first, second);
            boolean isAccepted =
                    change(
                            writer,
                            "c2",
                            put("u0", u0.address(), "draining") + "," + put("u1", u1.address(), "ready"));
            if (!isAccepted || atFirst.get() == 0) {
                record.say("the change was not accepted, or nothing was served before");
                return 2;
            }
            Discovery.pause(LIMIT_SECONDS * 1_000);
            int firstBefore = atFirst.get();
            int secondBefore = atSecond.get();
            Discovery.pause(WATCH_SECONDS * 1_000);
            status("after the change", writer, first, second);
            stopping = true;
            int toFirst = atFirst.get() - firstBefore;
            int toSecond = atSecond.get() - secondBefore;
            record.note("the balancer's log:%n%s", balancer.log());
            record.say(
                    "from %d to %d s after the writer accepted the change: %d requests to the drained u0, %d to u1",
                    LIMIT_SECONDS, LIMIT_SECONDS + WATCH_SECONDS, toFirst, toSecond);
            if (toFirst + toSecond == 0) {
                return 2;
            }
            return toFirst > 0 ? 1 : 0;
        }
    }

    private static String follow(String one, String other) {
        return "follow = [\"" + one + "\", \"" + other + "\"]\n";
    }

    private Path file(String name, String role, String listen, String follow) throws IOException {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(
                file,
                "role = \"" + role + "\"\nname = \"" + name + "\"\nlisten = \"" + listen + "\"\nfolder = \""
                        + folder.resolve(name) + "\"\n" + follow);
        return file;
    }

    private Process control(Path file, String address) throws IOException {
        Process process = start(folder.resolve(file.getFileName() + ".log"), "serve", file.toString());
        for (int i = 0; i < 100; i++) {
            try {
                Balancer.connect(address).close();
                return process;
            } catch (IOException e) {
                Discovery.pause(100);
            }
        }
        throw new IOException("no control process at " + address);
    }

    private Process start(Path log, String... arguments) throws IOException {
        List<String> command =
                new ArrayList<>(List.of("java", "-Xmx256m", "-jar", "target/load-balancer.jar", "control"));
        command.addAll(List.of(arguments));
        Process process =
                new ProcessBuilder(command)
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return process;
    }

    private String call(String... arguments) throws Exception {
        Path out = Files.createTempFile(folder, "call", ".out");
        Process process = start(out, arguments);
        if (!process.waitFor(20, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
        return Files.readString(out, StandardCharsets.UTF_8).strip();
    }

    private boolean change(String writer, String id, String put) throws Exception {
        Path file = folder.resolve(id + ".json");
        Files.writeString(file, "{\"id\":\"" + id + "\",\"put\":[" + put + "],\"delete\":[]}");
        String answer = call("change", "--to", writer, file.toString(), "--wait", "8");
        record.say("change %s: %s", id, answer);
        return answer.startsWith("accepted");
    }

    private void status(String when, String... servers) throws Exception {
        for (String server : servers) {
            record.note("%s, status from %s:%n%s", when, server, call("status", "--from", server));
        }
    }

    private static String put(String name, String address, String state) {
        return "{\"kind\":\"upstream\",\"service\":\"shop\",\"name\":\"" + name + "\",\"address\":\"" + address
                + "\",\"zone\":\"sala-nord\",\"upstreamKind\":\"fast\",\"cell\":0,\"state\":\"" + state
                + "\",\"weight\":1,\"startedMs\":0}";
    }

    private Balancer balancer(String listen, String first, String second) throws IOException {
        Path operator = folder.resolve("operator.toml");
        Files.writeString(
                operator,
                "[control]\nname = \"lb-1\"\nservice = \"shop\"\nservers = [\"" + first + "\", \"" + second
                        + "\"]\nlist = \"control\"\n");
        String ops = "127.0.0.1:" + Balancer.freePort();
        String nobody = "127.0.0.1:" + Balancer.freePort();
        String config =
                Balancer.config(listen, nobody, ops, 1024, List.of(Balancer.LOOKUP, Balancer.PUSH));
        return Balancer.start(
                root, folder, "n1", listen, config, Map.of("NODE_OPERATOR", operator.toString()));
    }

    private void upstream(String id, AtomicInteger count, Socket socket, InputStream in) throws Exception {
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            String name = request.header("X-Correlation-Id");
            count.incrementAndGet();
            record.note("%s ran %s", id, name);
            Thread.sleep(20);
            socket.getOutputStream()
                    .write(Http.answer("200 OK", "X-Backend-Load: cpu=0.30,rps=30\r\n", "answer to " + name));
        }
    }

    private void client(String listen) {
        while (!stopping) {
            String name = "r" + number.incrementAndGet();
            try (Socket socket = Balancer.connect(listen)) {
                socket.setSoTimeout(5_500);
                String head =
                        "GET /disponibilita?key=" + name + " HTTP/1.1\r\nHost: app.svc\r\nX-Account: acme\r\n"
                                + "X-Service-Class: disponibilita\r\nX-Correlation-Id: " + name
                                + "\r\nX-Time-Left-Ms: 5000\r\n\r\n";
                socket.getOutputStream().write(Http.ascii(head));
                Http.Message answer = Http.read(Http.buffered(socket.getInputStream()));
                record.note("%s: %s", name, answer == null ? "closed" : answer.start());
            } catch (IOException e) {
                record.note("%s: %s", name, e);
            }
            Discovery.pause(100);
        }
    }
}
