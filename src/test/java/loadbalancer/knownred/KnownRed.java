package loadbalancer.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The tests that may fail for now, one line each: {@code class.method, cause, issue}.
 *
 * @param entries at most {@link #MOST}
 */
record KnownRed(List<Entry> entries) {
    /** A fourth is not taken: then the first ones are mended. */
    static final int MOST = 3;

    private static final Path FILE = Path.of("KNOWN-RED.txt");

    /** One test, why it fails, and the issue that has it. */
    record Entry(String test, String cause, String issue) {
        String className() {
            return test.substring(0, test.lastIndexOf('.'));
        }

        String method() {
            return test.substring(test.lastIndexOf('.') + 1);
        }
    }

    /** The list at the root of the project; empty where there is none. */
    static KnownRed read() {
        try {
            return Files.exists(FILE) ? of(Files.readAllLines(FILE)) : new KnownRed(List.of());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Of lines; blank ones are passed over. A malformed line, or one too many, is an error. */
    static KnownRed of(List<String> lines) {
        List<Entry> entries = new ArrayList<>();
        for (String line : lines) {
            if (!line.isBlank()) {
                entries.add(entry(line));
            }
        }
        if (entries.size() > MOST) {
            throw new IllegalArgumentException(
                    FILE + " has " + entries.size() + " lines; " + MOST + " at most");
        }
        return new KnownRed(List.copyOf(entries));
    }

    private static Entry entry(String line) {
        int first = line.indexOf(',');
        int last = line.lastIndexOf(',');
        if (first < 0 || first == last || line.substring(0, first).indexOf('.') < 0) {
            throw new IllegalArgumentException(
                    FILE + ": expected 'class.method, cause, issue', got: " + line);
        }
        Entry entry =
                new Entry(
                        line.substring(0, first).strip(),
                        line.substring(first + 1, last).strip(),
                        line.substring(last + 1).strip());
        if (entry.cause().isEmpty() || !entry.issue().matches("[0-9]+")) {
            throw new IllegalArgumentException(FILE + ": no cause or no issue's number: " + line);
        }
        return entry;
    }

    /** The entry of a test, if it is listed. */
    Optional<Entry> find(String className, String method) {
        return entries.stream()
                .filter(e -> e.className().equals(className) && e.method().equals(method))
                .findFirst();
    }
}
