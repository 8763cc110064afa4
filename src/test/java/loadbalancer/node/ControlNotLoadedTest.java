package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
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
 * A program without a section [control] has nothing of control in it: no class, so no thread and no
 * socket.
 */
class ControlNotLoadedTest extends OnSockets {
    private static final Pattern CONTROL =
            Pattern.compile(" loadbalancer\\.(node\\.|http1\\.)?control\\.");

    /**
     * Starts the program, lets it serve a request, ends it, and gives the classes of control that
     * it loaded.
     */
    private List<String> controlClasses(String operatorFile) throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            listen = "127.0.0.1:" + free.getLocalPort();
        }
        Server discovery = server(HANG);
        Server upstream = server(SERVE);
        Path classes = folder.resolve("classes.log");
        Process program = start(write(ready(upstream), discovery), operatorFile, classes);
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
                    "no list of classes");
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
    void withoutTheSectionNothingOfControlIsLoaded(String operatorFile) throws Exception {
        assertEquals(List.of(), controlClasses(operatorFile));
    }

    /** With it there is something to be found: the test above looks at the right list. */
    @Test
    void withTheSectionControlIsLoaded() throws Exception {
        Server control = server(HANG);
        List<String> loaded =
                controlClasses(
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
