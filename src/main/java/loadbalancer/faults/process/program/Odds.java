package loadbalancer.faults.process.program;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Properties;

/**
 * What is wrong with one process, as {@link Skewed} reads it from a small file that the rig writes
 * anew.
 *
 * @param clockMs added to the wall clock
 * @param diskFull writes fail half way
 * @param diskRefuses nothing can be written or read
 * @param crashAtStart ends before it serves
 * @param crashAfter ends at the request of that number, counted from the process's start, or at the
 *     next one that comes; 0 for never
 * @param failOneIn of so many requests one fails for no reason; 0 for none
 * @param leakBytes kept for ever with each request
 */
public record Odds(
        long clockMs,
        boolean diskFull,
        boolean diskRefuses,
        boolean crashAtStart,
        int crashAfter,
        int failOneIn,
        int leakBytes) {
    /** Nothing. */
    public static final Odds NONE = new Odds(0, false, false, false, 0, 0, 0);

    /** With such a clock. */
    public static Odds clock(long offsetMs) {
        return new Odds(offsetMs, false, false, false, 0, 0, 0);
    }

    /** With a disk that is full, or refuses altogether. */
    public static Odds disk(boolean refuses) {
        return new Odds(0, !refuses, refuses, false, 0, 0, 0);
    }

    /** That ends before it serves. */
    public static Odds crashingAtStart() {
        return new Odds(0, false, false, true, 0, 0, 0);
    }

    /** That ends at a request. */
    public static Odds crashingAfter(int requests) {
        return new Odds(0, false, false, false, requests, 0, 0);
    }

    /** That fails one request in so many. */
    public static Odds failing(int oneIn) {
        return new Odds(0, false, false, false, 0, oneIn, 0);
    }

    /** That keeps so many bytes with each request. */
    public static Odds leaking(int bytes) {
        return new Odds(0, false, false, false, 0, 0, bytes);
    }

    /** Writes it so that a reader sees the old file or the new one. */
    public void write(Path file) throws IOException {
        String text =
                "clock="
                        + clockMs
                        + "\nfull="
                        + diskFull
                        + "\nrefuses="
                        + diskRefuses
                        + "\ncrash="
                        + crashAtStart
                        + "\nafter="
                        + crashAfter
                        + "\nfail="
                        + failOneIn
                        + "\nleak="
                        + leakBytes
                        + "\n";
        Path next = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(next, text);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Reads it; what is absent is {@link #NONE}'s. A number that is none is refused. */
    static Odds read(Path file) throws IOException {
        Properties p = new Properties();
        p.load(new StringReader(Files.readString(file)));
        try {
            return new Odds(
                    Long.parseLong(p.getProperty("clock", "0")),
                    flag(p, "full"),
                    flag(p, "refuses"),
                    flag(p, "crash"),
                    number(p, "after"),
                    number(p, "fail"),
                    number(p, "leak"));
        } catch (NumberFormatException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    private static boolean flag(Properties p, String name) {
        return Boolean.parseBoolean(p.getProperty(name));
    }

    private static int number(Properties p, String name) {
        return Integer.parseInt(p.getProperty(name, "0"));
    }
}
