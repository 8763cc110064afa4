package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/**
 * The class path in the jar's manifest must have every library that a balancer needs, and none that
 * only the tools need.
 */
class ClassPathTest {
    private static List<String> manifestLibraries() throws IOException {
        Matcher m =
                Pattern.compile("<Class-Path>(.*)</Class-Path>")
                        .matcher(Files.readString(Path.of("pom.xml")));
        assertTrue(m.find());
        return Arrays.stream(m.group(1).split(" "))
                .map(j -> j.replaceAll("lib/(.*)-\\$.*", "$1"))
                .sorted()
                .toList();
    }

    @Test
    void manifestListsNettyAndTheJsonParserOnly() throws IOException {
        List<String> needed =
                Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                        .map(p -> Path.of(p).getFileName().toString())
                        .filter(n -> n.startsWith("netty-") || n.startsWith("jackson-core-"))
                        .map(n -> n.replaceAll("-\\d.*", ""))
                        .sorted()
                        .toList();
        assertEquals(needed, manifestLibraries());
    }

    @Test
    void classPathOfTestsHasAllLibraries() {
        assertTrue(FullClassPath.isComplete());
    }
}
