package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.program.Program;
import org.junit.jupiter.api.AfterEach;

/** Base of tests that run the program in a process of its own, with its heap in service. */
abstract class ChildProgramFixture extends LoopbackNodeFixture {
    Process process;
    InetSocketAddress admin;

    @AfterEach
    void stopProcess() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /**
     * Starts the program and waits until it serves.
     *
     * @param launcher command that runs the command line that follows it; may be empty
     */
    void startProgram(Path config, List<String> launcher) throws Exception {
        admin = freeAddress();
        List<String> command = new ArrayList<>(launcher);
        command.addAll(Program.ofClassPath(System.getProperty("java.class.path")).plain());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("NODE_OPS", text(admin));
        builder.environment().put("TMPDIR", folder.toString());
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(folder.resolve("log").toFile())
                        .start();
        while (!"SUCCESS ready\n".equals(call("READY"))) {
            assertTrue(process.isAlive(), log());
            Thread.sleep(20);
        }
    }

    /**
     * Sends a line to the admin endpoint on a new connection and returns the reply; empty if the
     * endpoint does not listen.
     */
    String call(String line) throws IOException {
        try (Client client = new Client(admin)) {
            client.write(line + "\n");
            return new String(
                    client.socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (ConnectException e) {
            return "";
        }
    }

    /** Returns what the program has written so far. */
    String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }
}
