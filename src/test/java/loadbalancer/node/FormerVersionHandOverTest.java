package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A hand-over between this version and the one before the program was renamed. Both must use the
 * same name and the same bytes of the lock file, or neither detects the other.
 */
@Timeout(60)
class FormerVersionHandOverTest {
    private static final InetSocketAddress LISTEN = new InetSocketAddress("127.0.0.1", 8080);

    /** Name of the file in commit e2911b3. */
    private static final String LOCK_FILE = "yewyoke--127-0-0-1-8080.lock";

    @TempDir Path folder;
    private Process former;
    private PrintWriter commands;
    private BufferedReader replies;

    @BeforeEach
    void startFormerVersion() throws Exception {
        former =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                testClasses().toString(),
                                FormerLockHolder.class.getName(),
                                folder.resolve(LOCK_FILE).toString())
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        commands = new PrintWriter(former.getOutputStream(), true, StandardCharsets.US_ASCII);
        replies =
                new BufferedReader(
                        new InputStreamReader(former.getInputStream(), StandardCharsets.US_ASCII));
        assertEquals("running", replies.readLine());
    }

    private static Path testClasses() throws URISyntaxException {
        return Path.of(
                FormerLockHolder.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    }

    @AfterEach
    void endFormerVersion() throws InterruptedException {
        former.destroyForcibly().waitFor();
    }

    private boolean send(String command) throws IOException {
        commands.println(command);
        return Boolean.parseBoolean(replies.readLine());
    }

    @Test
    void newProcessDetectsThatTheFormerOneRunsListensAndEnds() throws Exception {
        try (FileLockSibling sibling = FileLockSibling.join(folder, LISTEN)) {
            assertTrue(sibling.isRunning());
            assertFalse(sibling.isListening());
            assertTrue(send("listen"));
            assertTrue(sibling.isListening());
            assertTrue(send("stop listening"));
            assertFalse(sibling.isListening());
            commands.close();
            assertTrue(former.waitFor(30, TimeUnit.SECONDS));
            assertFalse(sibling.isRunning());
        }
    }

    @Test
    void formerProcessDetectsThatTheNewOneRunsListensAndEnds() throws Exception {
        assertFalse(send("is sibling running"));
        try (FileLockSibling sibling = FileLockSibling.join(folder, LISTEN)) {
            assertTrue(send("is sibling running"));
            assertFalse(send("is sibling listening"));
            sibling.setListening(true);
            assertTrue(send("is sibling listening"));
            sibling.setListening(false);
            assertFalse(send("is sibling listening"));
        }
        assertFalse(send("is sibling running"));
    }
}
