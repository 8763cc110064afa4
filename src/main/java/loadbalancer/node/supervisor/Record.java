package loadbalancer.node.supervisor;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A process as the state folder remembers it, one file each. The file is written before the process
 * starts, and the mark in it is part of the command, so that one that was started just before its
 * parent died is found too.
 *
 * @param mark drawn anew for each process
 * @param pid 0 as long as it is not known
 * @param startedMs when the system started it; tells it from a later process of the same number
 */
record Record(String mark, long pid, long startedMs, Variant variant, InetSocketAddress door) {
    private static final String SUFFIX = ".process";

    /** An earlier version's supervisor marks its processes by the same name. */
    private static final String MARK_OPTION = "-Dyewyoke.kept=";

    void write(Path folder) throws IOException {
        String text =
                String.join(
                        "\n",
                        Long.toString(pid),
                        Long.toString(startedMs),
                        variant.program(),
                        variant.operator(),
                        door.getHostString(),
                        Integer.toString(door.getPort()),
                        "end\n");
        replace(folder, mark + SUFFIX, text);
    }

    /** Writes a whole file or leaves the one that is there. */
    static void replace(Path folder, String name, String text) throws IOException {
        Path draft = folder.resolve(name + ".new");
        Files.writeString(draft, text);
        Files.move(
                draft,
                folder.resolve(name),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    void forget(Path folder) throws IOException {
        Files.deleteIfExists(folder.resolve(mark + SUFFIX));
    }

    /** All that are remembered; a file that is not whole is passed over. */
    static List<Record> all(Path folder) throws IOException {
        List<Record> records = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.toString().endsWith(SUFFIX)).sorted().toList()) {
                String name = file.getFileName().toString();
                String[] t = Files.readString(file, StandardCharsets.UTF_8).split("\n", -1);
                try {
                    records.add(
                            new Record(
                                    name.substring(0, name.length() - SUFFIX.length()),
                                    Long.parseLong(t[0]),
                                    Long.parseLong(t[1]),
                                    new Variant(t[2], t[3]),
                                    new InetSocketAddress(t[4], Integer.parseInt(t[5]))));
                } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
                    Files.delete(file);
                }
            }
        }
        return records;
    }

    /**
     * The process itself, if it lives: by number and start, or by its mark where those were not
     * written yet.
     */
    Optional<ProcessHandle> process() {
        if (pid != 0) {
            return ProcessHandle.of(pid).filter(p -> p.isAlive() && started(p) == startedMs);
        }
        String argument = argument();
        return ProcessHandle.allProcesses()
                .filter(
                        p ->
                                Stream.of(p.info().arguments().orElse(new String[0]))
                                        .anyMatch(argument::equals))
                .findFirst();
    }

    /** What marks its command. */
    String argument() {
        return MARK_OPTION + mark;
    }

    Record of(ProcessHandle process) {
        return new Record(mark, process.pid(), started(process), variant, door);
    }

    private static long started(ProcessHandle process) {
        return process.info().startInstant().map(java.time.Instant::toEpochMilli).orElse(-1L);
    }
}
