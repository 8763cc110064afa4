package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The limits on the files that decide: each can be read at a sitting, in 110 columns. */
class ModuleSizeTest {
    private static final Path SOURCES = Path.of("src/main/java/loadbalancer");
    private static final int LONGEST =
            220; // of one file of it, so that each can be read at a sitting

    static String fault(List<String> lines) {
        return lines.stream()
                .filter(l -> l.length() > 110)
                .findFirst()
                .map(l -> "too wide: " + l)
                .orElse("");
    }

    /** The files that the deploy file names as those that decide. */
    private static List<Path> policy() throws IOException {
        List<Path> files = new ArrayList<>();
        new TomlMapper()
                .readTree(Path.of("deploy/balancer.toml").toFile())
                .withArray("policy")
                .forEach(f -> files.add(Path.of(f.asText())));
        return files;
    }

    @Test
    void moduleIsWithinItsLimits() throws IOException {
        List<String> all = new ArrayList<>();
        for (Path file : policy()) {
            List<String> lines = Files.readAllLines(file);
            assertEquals(0, Math.max(0, lines.size() - LONGEST), file + " is too long");
            all.addAll(lines);
        }
        assertEquals("", fault(all));
    }

    @Test
    void everyFileThatDecidesIsNamedOnce() throws IOException {
        TreeSet<Path> deciding =
                new TreeSet<>(
                        List.of(
                                SOURCES.resolve("ReweightingLoadBalancer.java"),
                                SOURCES.resolve("StateRestoration.java")));
        try (Stream<Path> files = Files.list(SOURCES.resolve("policy"))) {
            files.filter(f -> f.toString().endsWith(".java") && !f.endsWith("package-info.java"))
                    .forEach(deciding::add);
        }
        assertEquals(new ArrayList<>(deciding), policy().stream().sorted().toList());
    }

    @Test
    void theLimitsCatchAnExcess() {
        assertEquals("too wide: " + "x".repeat(111), fault(List.of("x".repeat(111))));
        assertEquals("", fault(Collections.nCopies(1_200, "x".repeat(110))));
    }
}
