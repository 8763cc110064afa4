package loadbalancer.faults.control.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Processor time and memory of a process, as the system tells them.
 *
 * @param processorMicros spent since its start
 * @param residentBytes held in memory now
 * @param peakResidentBytes the most that it ever held
 */
record ProcessFigures(long processorMicros, long residentBytes, long peakResidentBytes) {
    /** Of a process that is gone. */
    static final ProcessFigures NONE = new ProcessFigures(0, 0, 0);

    private static final long MICROS_PER_TICK = 10_000;
    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;
    private static final long KILOBYTE = 1_024;

    /** Reads them; {@link #NONE} if the process is gone. */
    static ProcessFigures of(long pid) {
        Path folder = Path.of("/proc", Long.toString(pid));
        try {
            String stat = Files.readString(folder.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]);
            String status = Files.readString(folder.resolve("status"));
            return new ProcessFigures(
                    ticks * MICROS_PER_TICK,
                    kilobytes(status, "VmRSS:") * KILOBYTE,
                    kilobytes(status, "VmHWM:") * KILOBYTE);
        } catch (IOException e) {
            return NONE;
        }
    }

    private static long kilobytes(String status, String name) {
        return status.lines()
                .filter(line -> line.startsWith(name))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElse(0);
    }
}
