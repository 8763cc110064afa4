package loadbalancer.faults.control.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Keeps a run under half of the machine's memory. */
final class MemoryBudget {
    private static final int CONTROL_MACHINES = 4;
    private static final long KILOBYTES_PER_MEGABYTE = 1_024;

    /** What a process takes besides its heap. */
    private static final int OVERHEAD_MEGABYTES = 120;

    private MemoryBudget() {}

    /** Fails if the processes could take more. */
    static void check(ScaleOptions options, int hollowProcesses) throws IOException {
        ScaleOptions.Limits limits = options.limits();
        long wanted =
                (long) CONTROL_MACHINES * (limits.controlHeapMegabytes() + OVERHEAD_MEGABYTES)
                        + (long) hollowProcesses
                                * (limits.hollowHeapMegabytes() + OVERHEAD_MEGABYTES);
        long half = megabytesOfMachine() / 2;
        if (wanted > half) {
            throw new ScaleFailure(
                    "the processes could take "
                            + wanted
                            + " MB, more than half of the machine's, "
                            + half
                            + " MB");
        }
    }

    private static long megabytesOfMachine() throws IOException {
        return Files.readAllLines(Path.of("/proc/meminfo")).stream()
                        .filter(line -> line.startsWith("MemTotal:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                        .findFirst()
                        .orElse(0)
                / KILOBYTES_PER_MEGABYTE;
    }
}
