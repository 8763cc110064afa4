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
 * A hand-over from a process of the version before the program was renamed: the lock file's name
 * and its locked bytes are the contract between the two.
 */
@Timeout(60)
class FormerVersionHandOverTest {
    private static final InetSocketAddress LISTEN = new InetSocketAddress("127.0.0.1", 8080);

    /** As commit e2911b3 named it. */
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
        assertEquals("lives", replies.readLine());
    }

    private static Path testClasses() throws URISyntaxException {
        return Path.of(
                FormerLockHolder.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    }

    @AfterEach
    void endFormerVersion() throws InterruptedException {
        former.destroyForcibly().waitFor();
    }

    private boolean ask(String command) throws IOException {
        commands.println(command);
        return Boolean.parseBoolean(replies.readLine());
    }

    @Test
    void theNewProcessSeesTheFormerOneLiveListenAndEnd() throws Exception {
        try (FileLockSibling sibling = FileLockSibling.join(folder, LISTEN)) {
            assertTrue(sibling.isRunning());
            assertFalse(sibling.isListening());
            assertTrue(ask("listen"));
            assertTrue(sibling.isListening());
            assertTrue(ask("stop listening"));
            assertFalse(sibling.isListening());
            commands.close();
            assertTrue(former.waitFor(30, TimeUnit.SECONDS));
            assertFalse(sibling.isRunning());
        }
    }

    @Test
    void theFormerProcessSeesTheNewOneLiveListenAndEnd() throws Exception {
        assertFalse(ask("sibling lives"));
        try (FileLockSibling sibling = FileLockSibling.join(folder, LISTEN)) {
            assertTrue(ask("sibling lives"));
            assertFalse(ask("sibling listens"));
            sibling.setListening(true);
            assertTrue(ask("sibling listens"));
            sibling.setListening(false);
            assertFalse(ask("sibling listens"));
        }
        assertFalse(ask("sibling lives"));
    }
}
