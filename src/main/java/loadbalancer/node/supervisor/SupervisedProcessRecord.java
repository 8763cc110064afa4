package loadbalancer.node.supervisor;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A process as the state folder records it, one file each. The file is written before the process
 * starts, and its id is part of the command, so that a process that was started just before its
 * supervisor died is found. Immutable; calls with a folder block.
 *
 * @param id random, for each process
 * @param pid 0 as long as it is not known
 * @param startedMillis when the system started it, since the epoch; tells it from a later process
 *     of the same pid
 * @param adminAddress of its admin endpoint
 */
record SupervisedProcessRecord(
        String id, long pid, long startedMillis, Variant variant, InetSocketAddress adminAddress) {
    /** Option by which a process is found; former versions mark theirs by the same name. */
    private static final String ID_ARGUMENT_PREFIX = "-Dyewyoke.kept=";

    private static final String END_OF_FILE = "end\n";

    void write(Path folder) throws IOException {
        String text =
                String.join(
                        "\n",
                        Long.toString(pid),
                        Long.toString(startedMillis),
                        variant.program(),
                        variant.operatorFile(),
                        adminAddress.getHostString(),
                        Integer.toString(adminAddress.getPort()),
                        END_OF_FILE);
        StateFolder.replace(folder, fileName(), text);
    }

    void delete(Path folder) throws IOException {
        Files.deleteIfExists(folder.resolve(fileName()));
    }

    private String fileName() {
        return id + StateFolder.PROCESS_SUFFIX;
    }

    /** All records of a folder; a file that can't be understood is deleted. */
    static List<SupervisedProcessRecord> readAll(Path folder) throws IOException {
        List<SupervisedProcessRecord> records = new ArrayList<>();
        for (Path file : files(folder)) {
            String[] lines = Files.readString(file, StandardCharsets.UTF_8).split("\n", -1);
            try {
                records.add(parse(file.getFileName().toString(), lines));
            } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
                Files.delete(file);
            }
        }
        return records;
    }

    private static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(StateFolder.PROCESS_SUFFIX))
                    .sorted()
                    .toList();
        }
    }

    private static SupervisedProcessRecord parse(String fileName, String[] lines) {
        return new SupervisedProcessRecord(
                fileName.substring(0, fileName.length() - StateFolder.PROCESS_SUFFIX.length()),
                Long.parseLong(lines[0]),
                Long.parseLong(lines[1]),
                new Variant(lines[2], lines[3]),
                new InetSocketAddress(lines[4], Integer.parseInt(lines[5])));
    }

    /**
     * The process itself, if it runs: by pid and start, or by its id in the command where those
     * were not written yet.
     */
    Optional<ProcessHandle> findProcess() {
        if (pid != 0) {
            return ProcessHandle.of(pid)
                    .filter(ProcessHandle::isAlive)
                    .filter(process -> startMillis(process) == startedMillis);
        }
        String idArgument = idArgument();
        return ProcessHandle.allProcesses()
                .filter(process -> List.of(arguments(process)).contains(idArgument))
                .findFirst();
    }

    private static String[] arguments(ProcessHandle process) {
        return process.info().arguments().orElse(new String[0]);
    }

    /** The argument of its command by which it is found. */
    String idArgument() {
        return ID_ARGUMENT_PREFIX + id;
    }

    /** The record of the same process once it runs. */
    SupervisedProcessRecord withProcess(ProcessHandle process) {
        return new SupervisedProcessRecord(
                id, process.pid(), startMillis(process), variant, adminAddress);
    }

    private static long startMillis(ProcessHandle process) {
        return process.info().startInstant().map(Instant::toEpochMilli).orElse(-1L);
    }
}
