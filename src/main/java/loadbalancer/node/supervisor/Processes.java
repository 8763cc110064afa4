package loadbalancer.node.supervisor;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * The processes themselves: what {@link ProcessSupervisor} orders is done here, and what becomes of
 * them is told back.
 */
final class Processes {
    private static final String JAR = "load-balancer.jar";

    /** The jar's name in folders of versions from before the program was renamed. */
    private static final String FORMER_JAR = "yewyoke.jar";

    private record Running(Record record, ProcessHandle handle) {}

    private final SupervisorFile file;
    private final Consumer<String> report;
    private final Map<Integer, Running> running = new TreeMap<>();

    Processes(SupervisorFile file, Consumer<String> report) {
        this.file = file;
        this.report = report;
    }

    /** Takes up what an earlier parent has left. */
    void find(ProcessSupervisor supervisor, long now) throws IOException {
        for (Record record : Record.all(file.state())) {
            ProcessHandle handle = record.process().orElse(null);
            if (handle == null) {
                record.forget(file.state());
            } else {
                report.accept("found process " + handle.pid() + " of " + record.variant());
                running.put(supervisor.found(now, record.variant()), new Running(record, handle));
            }
        }
    }

    /** Tells which have ended and which serve. */
    void look(ProcessSupervisor supervisor, long now) throws IOException {
        for (int number : List.copyOf(running.keySet())) {
            Running one = running.get(number);
            if (!one.handle.isAlive()) {
                running.remove(number);
                one.record.forget(file.state());
                report.accept(
                        "process "
                                + one.handle.pid()
                                + " of "
                                + one.record.variant()
                                + " has ended");
                supervisor.exited(now, number);
            } else if (supervisor.awaits(number) && Call.ready(one.record.door())) {
                supervisor.ready(now, number);
            }
        }
    }

    /** Starts a process; one that can't even be started counts as one that ended at once. */
    void start(ProcessSupervisor supervisor, long now, int number, Variant variant)
            throws IOException {
        InetSocketAddress door =
                file.doors().stream()
                        .filter(
                                d ->
                                        running.values().stream()
                                                .noneMatch(r -> r.record.door().equals(d)))
                        .findFirst()
                        .orElseThrow();
        Record record = new Record(UUID.randomUUID().toString(), 0, 0, variant, door);
        record.write(file.state());
        try {
            ProcessBuilder builder = new ProcessBuilder(command(record));
            builder.environment().put("NODE_OPS", door.getHostString() + ":" + door.getPort());
            if (variant.operator().isEmpty()) {
                builder.environment().remove("NODE_OPERATOR");
            } else {
                builder.environment()
                        .put(
                                "NODE_OPERATOR",
                                file.operators().resolve(variant.operator()).toString());
            }
            // Not the parent's own streams: the process lives longer than whoever reads those.
            File log = file.state().resolve("balancer.log").toFile();
            Process process =
                    builder.redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                            .start();
            process.getOutputStream().close();
            Record known = record.of(process.toHandle());
            known.write(file.state());
            running.put(number, new Running(known, process.toHandle()));
            report.accept("started process " + process.pid() + " of " + variant);
        } catch (IOException e) {
            record.forget(file.state());
            report.accept("can't start " + variant + ": " + e.getMessage());
            supervisor.exited(now, number);
        }
    }

    private List<String> command(Record record) throws IOException {
        Path jar = findJar(file.programs().resolve(record.variant().program()));
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add(record.argument());
        command.addAll(file.options());
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        return command;
    }

    private static Path findJar(Path folder) throws IOException {
        Path jar = folder.resolve(JAR);
        if (Files.isRegularFile(jar)) {
            return jar;
        }
        Path former = folder.resolve(FORMER_JAR);
        if (Files.isRegularFile(former)) {
            return former;
        }
        throw new IOException(jar + " is not there");
    }

    void terminate(int number) {
        Running one = running.get(number);
        if (one != null) {
            one.handle.destroy();
        }
    }

    void kill(int number) {
        Running one = running.get(number);
        if (one != null) {
            report.accept("kills process " + one.handle.pid() + " of " + one.record.variant());
            one.handle.destroyForcibly();
        }
    }

    /** The figures of all that live, by a name that no other process has. */
    Map<String, Sample> samples() {
        Map<String, Sample> samples = new TreeMap<>();
        running.values()
                .forEach(
                        r ->
                                samples.put(
                                        r.record.mark(),
                                        new Sample(
                                                Call.stats(r.record.door()),
                                                r.handle
                                                        .info()
                                                        .totalCpuDuration()
                                                        .map(d -> d.toNanos() / 1_000)
                                                        .orElse(0L),
                                                memoryKb(r.handle.pid()))));
        return samples;
    }

    /** What one process has counted since its start; processor time in microseconds. */
    record Sample(Map<String, Long> figures, long processorMicros, long memoryKb) {}

    /** Of Linux; elsewhere 0, which counts as missing. */
    private static long memoryKb(long pid) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
        } catch (IOException | NumberFormatException e) {
            return 0;
        }
        return 0;
    }
}
