package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Server;
import loadbalancer.faults.process.program.Program;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A program without a section [control] in its operator's file must load no class of the control
 * plane, so that it has no thread or socket of it either.
 */
class ControlNotLoadedTest extends LoopbackNodeFixture {
    private static final Pattern CONTROL =
            Pattern.compile(" loadbalancer\\.(node\\.|http1\\.)?control\\.");

    /**
     * Starts the program, waits for its first call to discovery, stops it, and returns the JVM's
     * log lines about loaded classes of the control plane.
     */
    private List<String> loadedControlClasses(String operatorFile) throws Exception {
        listen = text(freeAddress());
        Server discovery = server(HANG);
        Server upstream = server(SERVE);
        Path classes = folder.resolve("classes.log");
        Process program =
                start(writeConfiguration(ready(upstream), discovery), operatorFile, classes);
        try {
            Sockets.next(discovery.requests);
        } finally {
            program.destroy();
            assertTrue(program.waitFor(Sockets.PATIENCE_S, TimeUnit.SECONDS));
        }
        try (Stream<String> lines = Files.lines(classes)) {
            List<String> loaded = lines.filter(line -> line.contains(" loadbalancer.")).toList();
            assertTrue(
                    loaded.stream().anyMatch(line -> line.contains(" loadbalancer.node.Node ")),
                    "the class loading log does not have the class Node");
            return loaded.stream().filter(line -> CONTROL.matcher(line).find()).toList();
        }
    }

    private Process start(Path config, String operatorFile, Path classes) throws Exception {
        List<String> command =
                new ArrayList<>(Program.ofClassPath(System.getProperty("java.class.path")).plain());
        command.add(1, "-Xlog:class+load:file=" + classes);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        if (!operatorFile.isEmpty()) {
            Path operator = Files.writeString(folder.resolve("operator.toml"), operatorFile);
            builder.environment().put("NODE_OPERATOR", operator.toString());
        }
        return builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile())
                .start();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[log]\nformat = \"text\"\n"})
    void loadsNoControlClassWithoutTheSection(String operatorFile) throws Exception {
        assertEquals(List.of(), loadedControlClasses(operatorFile));
    }

    /** Shows that the pattern of the test above matches control classes when they are loaded. */
    @Test
    void loadsControlClassesWithTheSection() throws Exception {
        Server control = server(HANG);
        List<String> loaded =
                loadedControlClasses(
                        "[control]\nname = \"lb-1\"\nservice = \"shop\"\nservers = [\""
                                + control.addr()
                                + "\"]\n");
        assertTrue(
                loaded.stream()
                        .anyMatch(
                                line ->
                                        line.contains(
                                                "loadbalancer.control.subscribe.Subscriber ")));
    }
}
