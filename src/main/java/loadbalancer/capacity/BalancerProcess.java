package loadbalancer.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A real balancer, started as the {@code run} line of deploy/balancer.toml says. */
final class BalancerProcess implements AutoCloseable {
    private static final Path DEPLOYMENT = Path.of("deploy", "balancer.toml");
    private static final String READY = "serving, with ";
    private static final long LOOK_MS = 2;
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long STOP_SECONDS = 10;

    private final Process process;
    private final Path log;
    private final long startedAt = System.nanoTime();

    private BalancerProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /** Starts one on a configuration of that size, with its files in the folder. */
    static BalancerProcess start(Path folder, int upstreams, int tenants) throws IOException {
        int port = freePort();
        Path file = folder.resolve("balancer-" + port + ".json");
        Files.write(file, new ConfigurationText(upstreams, tenants, port).bytes());
        Path log = folder.resolve("balancer-" + port + ".log");
        ProcessBuilder builder =
                new ProcessBuilder("sh", "-c", runLine())
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile());
        builder.environment().put("NODE_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        return new BalancerProcess(builder.start(), log);
    }

    /** The command that starts a balancer. */
    static String runLine() throws IOException {
        JsonNode run = new TomlMapper().readTree(DEPLOYMENT.toFile()).get("run");
        if (run == null) {
            throw new IOException(DEPLOYMENT + " has no run line");
        }
        return run.asText();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Waits until it serves; seconds from its start. */
    double awaitReady() throws IOException, InterruptedException {
        while (!Files.readString(log).contains(READY)) {
            if (!process.isAlive() || System.nanoTime() - startedAt > LIMIT_NANOS) {
                throw new IOException(
                        "a balancer did not come to serve: " + Files.readString(log).trim());
            }
            Thread.sleep(LOOK_MS);
        }
        return (System.nanoTime() - startedAt) / 1e9;
    }

    /** Processor time since its start, in seconds. */
    double processorSeconds() {
        return process.info().totalCpuDuration().orElseThrow().toNanos() / 1e9;
    }

    /** Processor time so far of each thread there is, in nanoseconds, by its number. */
    Map<String, Long> threadNanos() throws IOException {
        Map<String, Long> nanos = new HashMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(file("task"))) {
            for (Path thread : threads) {
                String ran = Files.readString(thread.resolve("schedstat")).split(" ")[0];
                nanos.put(thread.getFileName().toString(), Long.parseLong(ran));
            }
        }
        return nanos;
    }

    /** Of what the system tells of the process. */
    private Path file(String name) {
        return Path.of("/proc", Long.toString(process.pid()), name);
    }

    /** Resident memory now, in bytes. */
    long residentBytes() throws IOException {
        for (String line : Files.readAllLines(file("status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1_024;
            }
        }
        throw new IOException("the system does not tell a process's memory");
    }

    /** Asks it to stop, and does not wait for that. */
    void stop() {
        process.destroy();
    }

    @Override
    public void close() {
        stop();
        try {
            if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
