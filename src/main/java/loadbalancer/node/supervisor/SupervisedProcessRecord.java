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
 * The record of a process in the state folder, one file per process. The file is written before the
 * process starts, and the process's command contains the id; thus the next supervisor finds a
 * process even if its supervisor died immediately after starting it. Immutable; methods with a
 * folder parameter block on the disk.
 *
 * @param id random id, unique for each process
 * @param pid process id, 0 as long as it is unknown
 * @param startedMillis start time in milliseconds since the epoch; distinguishes the process from a
 *     later one with the same pid
 * @param variant what the process runs
 * @param adminAddress address of the process's admin endpoint
 */
record SupervisedProcessRecord(
        String id, long pid, long startedMillis, Variant variant, InetSocketAddress adminAddress) {
    /**
     * Option that identifies a process. Earlier versions use the same name, so that their processes
     * are found.
     */
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

    /** Returns all records of a folder; deletes files that are invalid. */
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
     * Returns the process if it is running. It is found by pid and start time or, if those were not
     * written yet, by the id in its command.
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

    /** Returns the command argument that identifies the process. */
    String idArgument() {
        return ID_ARGUMENT_PREFIX + id;
    }

    /** Returns the record with the pid and the start time of the started process. */
    SupervisedProcessRecord withProcess(ProcessHandle process) {
        return new SupervisedProcessRecord(
                id, process.pid(), startMillis(process), variant, adminAddress);
    }

    private static long startMillis(ProcessHandle process) {
        return process.info().startInstant().map(Instant::toEpochMilli).orElse(-1L);
    }
}
