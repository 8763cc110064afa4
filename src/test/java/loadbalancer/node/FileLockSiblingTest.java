package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Sibling processes must detect each other, also if the folder of the lock file was missing at
 * first.
 */
class FileLockSiblingTest {
    private static final InetSocketAddress LISTEN = new InetSocketAddress("127.0.0.1", 8080);

    @TempDir Path parent;

    @Test
    void detectsSiblingOnceTheMissingFolderExists() throws Exception {
        Path folder = parent.resolve("tmp");
        FileLockSibling first = FileLockSibling.join(folder, LISTEN);
        FileLockSibling second = FileLockSibling.join(folder, LISTEN);
        first.setListening(true);
        assertFalse(second.isRunning());
        Files.createDirectory(folder);
        assertFalse(first.isRunning()); // the other has not retried its lock yet
        assertTrue(second.isRunning());
        assertTrue(first.isRunning());
        assertTrue(second.isListening());
        assertFalse(first.isListening());
        first.setListening(false);
        assertFalse(second.isListening());
        first.close();
        assertFalse(second.isRunning());
        second.close();
    }
}
