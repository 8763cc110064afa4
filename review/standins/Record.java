import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static double millis() {
        return (System.nanoTime() - START) / 1e6;
    }

    synchronized void note(String format, Object... values) {
        out.printf("%10.3f %s%n", millis(), String.format(format, values));
    }

    /** Notes a line and prints it on standard output, too. */
    void say(String format, Object... values) {
        note(format, values);
        System.out.printf(format + "%n", values);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
