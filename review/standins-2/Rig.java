import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts the project's programs as processes of their own, calls their doors and writes the record.
 * One case is one process of the JVM; everything that it started ends with it.
 */
final class Rig implements AutoCloseable {
    /** Thrown where the case can't run; the exit code is 2 then. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String reason) {
            super(reason);
        }
    }

    /** The body of a case: returns whether the rule was kept. */
    interface Case {
        boolean play(Rig rig) throws Exception;
    }

    /** A process of the project's program. */
    static final class Program {
        final String name;
        final Process process;
        final Path log;
        String ops;

        Program(String name, Process process, Path log) {
            this.name = name;
            this.process = process;
            this.log = log;
        }
    }

    /** What a program of the command line printed, and its exit code. */
    record Output(int code, String text) {}

    /** The answer to an HTTP call. */
    record Answer(int status, String body, boolean closes) {}

    private static final String HOST = "127.0.0.1";
    private static final int HELD = 0;
    private static final int BROKEN = 10;
    private static final int NOT_RUN = 2;
    private static final int LIMIT_SECONDS = 110;
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 20_000;
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final Set<Integer> PORTS_GIVEN = new HashSet<>();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    private final Path root;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Program> programs = new ArrayList<>();
    private final List<Process> tools = new ArrayList<>();
    private boolean isEnding;

    private Rig(Path caseFolder) throws IOException {
        root = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("review-2-");
        record =
                new PrintWriter(
                        Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
    }

    /**
     * Plays a case and ends this JVM: with 0 if the rule held, with 10 if it was broken, and with
     * another code if the case could not run. A failure of the JVM itself gives 1, so that it can't
     * pass for a broken rule; run.sh translates.
     */
    static void run(String[] args, Case played) throws IOException {
        Rig rig = new Rig(Path.of(args[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(rig::endAll));
        Thread watch =
                new Thread(
                        () -> {
                            pause(LIMIT_SECONDS * 1_000L);
                            rig.note("the case did not end within " + LIMIT_SECONDS + " s");
                            System.exit(NOT_RUN);
                        });
        watch.setDaemon(true);
        watch.start();
        int code = NOT_RUN;
        try {
            rig.note(rig.trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
            boolean isKept = played.play(rig);
            rig.note(isKept ? "the rule held" : "the rule was broken");
            code = isKept ? HELD : BROKEN;
        } catch (CannotRun e) {
            rig.note("the case could not run: " + e.getMessage());
        } catch (Exception | Error e) {
            rig.note("the case could not run: " + e);
        }
        rig.close();
        System.exit(code);
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Writes a line of the record. */
    synchronized void note(String line) {
        String text = String.format(Locale.ROOT, "%8.3f %s", now() / 1e3, line);
        record.println(text);
        System.out.println(text);
    }

    /** Writes a line of the record alone, for what there is much of. */
    synchronized void detail(long atMillis, String line) {
        record.println(String.format(Locale.ROOT, "%8.3f %s", atMillis / 1e3, line));
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- Addresses and files

    /**
     * Returns an address on loopback that nobody uses now, and none that was returned before. Its
     * port is below those that the system deals out by itself, which may be taken at any time.
     */
    static synchronized String freeAddress() throws IOException {
        for (int tries = 0; tries < 1_000; tries++) {
            int port = FIRST_PORT + RANDOM.nextInt(PORTS);
            if (!PORTS_GIVEN.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return HOST + ":" + socket.getLocalPort();
            } catch (BindException e) {
                continue;
            }
        }
        throw new CannotRun("no free port");
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    Path write(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Files.createDirectories(file.getParent());
        return Files.writeString(file, text);
    }

    // ---- Programs

    /** Starts a balancer by `run` of the deploy file; the operator's file may be null. */
    Program balancer(String name, Path config, Path operator, String ops) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/balancer.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(deploy);
        if (!run.find()) {
            throw new CannotRun("deploy/balancer.toml has no run");
        }
        Path temporary = Files.createDirectories(folder.resolve("tmp"));
        Map<String, String> environment = new HashMap<>();
        environment.put("NODE_CONFIG", config.toString());
        environment.put("NODE_OPS", ops);
        environment.put("TMPDIR", temporary.toString());
        if (operator != null) {
            environment.put("NODE_OPERATOR", operator.toString());
        }
        Program started = start(name, List.of("/bin/sh", "-c", run.group(1)), environment);
        started.ops = ops;
        return started;
    }

    /** Starts a control machine and waits until it serves. */
    Program control(String name, Path file) throws Exception {
        long before = starts(name);
        Program machine = startControl(name, file);
        require(
                20_000,
                name + " serves",
                () -> !machine.process.isAlive() || starts(name) > before);
        requireAlive(machine);
        return machine;
    }

    private long starts(String name) throws IOException {
        Path log = folder.resolve(name + ".log");
        return Files.exists(log)
                ? Files.readAllLines(log).stream()
                        .filter(line -> line.startsWith("control serving at"))
                        .count()
                : 0;
    }

    private Program startControl(String name, Path file) throws IOException {
        return start(
                name,
                List.of(
                        "java",
                        "-Xmx128m",
                        "-XX:+UseSerialGC",
                        "-jar",
                        "target/load-balancer.jar",
                        "control",
                        "serve",
                        file.toString()),
                Map.of());
    }

    private synchronized Program start(String name, List<String> command, Map<String, String> more)
            throws IOException {
        requireNotEnding();
        if (!Files.isRegularFile(root.resolve("target/load-balancer.jar"))) {
            throw new CannotRun("target/load-balancer.jar is not built");
        }
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        withoutSettings(builder);
        builder.environment().putAll(more);
        Program program = new Program(name, builder.start(), log);
        programs.add(program);
        note("started " + name + ", process " + program.process.pid());
        return program;
    }

    private void requireNotEnding() {
        if (isEnding) {
            throw new CannotRun("the case is ending");
        }
    }

    /** Takes away what the caller's environment may say to a balancer. */
    private static void withoutSettings(ProcessBuilder builder) {
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
    }

    /** Runs a command of the program's command line and returns what it printed. */
    Output tool(long limitSeconds, String... arguments) throws Exception {
        List<String> command = new ArrayList<>();
        command.addAll(
                List.of("java", "-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-jar", "target/load-balancer.jar"));
        command.addAll(List.of(arguments));
        Path log = Files.createTempFile(folder, "tool", ".log");
        Process process;
        synchronized (this) {
            requireNotEnding();
            ProcessBuilder builder =
                    new ProcessBuilder(command)
                            .directory(root.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(log.toFile());
            withoutSettings(builder);
            process = builder.start();
            tools.add(process);
        }
        if (!process.waitFor(limitSeconds, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            throw new CannotRun(String.join(" ", arguments) + " did not end");
        }
        return new Output(process.exitValue(), Files.readString(log).strip());
    }

    /** Sends SIGTERM. */
    void terminate(Program program) {
        note("SIGTERM to " + program.name);
        program.process.destroy();
    }

    /** Sends SIGKILL and waits for the end. */
    void kill(Program program) throws InterruptedException {
        note("SIGKILL to " + program.name);
        program.process.destroyForcibly();
        program.process.waitFor();
    }

    /** Ends all processes and waits for their end, however this JVM ends. */
    private synchronized void endAll() {
        isEnding = true;
        List<Process> all = new ArrayList<>(tools);
        programs.forEach(program -> all.add(program.process));
        all.forEach(Process::destroyForcibly);
        try {
            for (Process process : all) {
                process.waitFor(5, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (Files.exists(folder)) {
            delete(folder);
        }
    }

    @Override
    public void close() {
        Set<Path> logs = new LinkedHashSet<>();
        try {
            for (Program program : List.copyOf(programs)) {
                program.process.destroyForcibly();
                program.process.waitFor(10, TimeUnit.SECONDS);
                logs.add(program.log);
            }
            for (Path log : logs) {
                for (String line : Files.readAllLines(log)) {
                    record.println("log of " + log.getFileName() + ": " + line);
                }
            }
        } catch (IOException | InterruptedException e) {
            record.println("no log: " + e);
        }
        record.close();
        delete(folder);
    }

    private static void delete(Path path) {
        try (var inside = Files.walk(path)) {
            inside.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("not deleted: " + path);
        }
    }

    // ---- Waiting

    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits until the condition holds; returns whether it did in time. */
    static boolean await(long millis, Condition condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                return false;
            }
            pause(10);
        }
        return true;
    }

    static void require(long millis, String what, Condition condition) throws Exception {
        if (!await(millis, condition)) {
            throw new CannotRun("not within " + millis + " ms: " + what);
        }
    }

    /** Requires that a program has not ended by itself. */
    void requireAlive(Program program) {
        if (!program.process.isAlive()) {
            throw new CannotRun(
                    program.name + " has ended with code " + program.process.exitValue());
        }
    }

    // ---- Doors

    /** Makes a call at the operators' door; an empty text if there is no answer. */
    static String ops(Program program, String call) {
        try (Socket socket = new Socket()) {
            socket.connect(address(program.ops), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                    .strip();
        } catch (IOException e) {
            return "";
        }
    }

    static boolean isReady(Program program) {
        return ops(program, "READY").startsWith("SUCCESS");
    }

    /** Returns a figure of STATS; -1 if it is not there. */
    static long stat(Program program, String name) {
        Matcher line =
                Pattern.compile("(?m)^" + Pattern.quote(name) + ":(\\d+)\\|")
                        .matcher(ops(program, "STATS"));
        return line.find() ? Long.parseLong(line.group(1)) : -1;
    }

    /** Returns the number of the control machines' revision that is in force at a balancer. */
    static long revision(Program program) {
        return stat(program, "app.control_revision");
    }

    /** Submits a change and returns the number of its revision. */
    long change(String machine, String json) throws IOException {
        Answer answer = call(machine, "POST /v1/changes", json);
        Matcher revision = Pattern.compile("\"revision\":\"\\d+\\.(\\d+)\"").matcher(answer.body);
        if (answer.status != 200 || !revision.find()) {
            throw new CannotRun("the change was not accepted: " + answer);
        }
        note("accepted by the writer: " + answer.body.strip() + " " + json);
        return Long.parseLong(revision.group(1));
    }

    private static Answer call(String machine, String call, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        try (Socket socket = new Socket()) {
            socket.connect(address(machine), 2_000);
            socket.setSoTimeout(5_000);
            String head =
                    call
                            + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: "
                            + bytes.length
                            + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(bytes);
            return answer(new BufferedInputStream(socket.getInputStream()));
        }
    }


    // ---- HTTP

    /** Reads one line up to its line feed; null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** Reads one answer with a length or in chunks. */
    static Answer answer(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            throw new IOException("the connection ended without an answer");
        }
        int status = Integer.parseInt(first.split(" ")[1]);
        int length = 0;
        boolean closes = false;
        boolean isChunked = false;
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            String lower = field.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).strip());
            }
            isChunked |= lower.startsWith("transfer-encoding:") && lower.endsWith("chunked");
            closes |= lower.startsWith("connection:") && lower.contains("close");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (isChunked) {
            for (int size = size(in); size > 0; size = size(in)) {
                body.write(in.readNBytes(size));
                line(in);
            }
            line(in);
        } else {
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new IOException("the answer is cut off");
            }
            body.write(bytes);
        }
        return new Answer(status, body.toString(StandardCharsets.UTF_8), closes);
    }

    private static int size(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new IOException("the answer is cut off");
        }
        return Integer.parseInt(line.split(";")[0].strip(), 16);
    }
}
