package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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

    @Test
    void processesReadEachOthersFiles() throws Exception {
        FileLockSibling first = FileLockSibling.join(parent, LISTEN);
        FileLockSibling second = FileLockSibling.join(parent, LISTEN);
        SiblingFiles own = first.files().orElseThrow();
        SiblingFiles others = second.files().orElseThrow();
        assertNull(others.otherStamp("list"));
        own.write("list", bytes("one"));
        Object stamp = others.otherStamp("list");
        assertArrayEquals(bytes("one"), others.readOther("list", 10));
        assertEquals(stamp, others.otherStamp("list"));
        own.write("list", bytes("two"));
        assertNotEquals(stamp, others.otherStamp("list"));
        assertArrayEquals(bytes("two"), others.readOther("list", 10));
        assertArrayEquals(bytes("tw"), others.readOther("list", 1), "one byte beyond the maximum");
        assertNull(own.otherStamp("list"), "a process does not read its own file");
        first.close();
        second.close();
    }

    /** Guards against a state that a process of another time has left and this one never shared. */
    @Test
    void filesOfAnEarlierProcessAreGoneOnceAnotherHasItsPlace() throws Exception {
        FileLockSibling earlier = FileLockSibling.join(parent, LISTEN);
        earlier.files().orElseThrow().write("list", bytes("old"));
        earlier.close();
        FileLockSibling first = FileLockSibling.join(parent, LISTEN);
        FileLockSibling second = FileLockSibling.join(parent, LISTEN);
        assertNull(second.files().orElseThrow().otherStamp("list"));
        first.close();
        second.close();
    }

    /** Guards against files that stay beside a process of a version that shares nothing. */
    @Test
    void filesOfBothEarlierProcessesAreGoneOnceAnotherStartsAlone() throws Exception {
        FileLockSibling earlier = FileLockSibling.join(parent, LISTEN);
        FileLockSibling second = FileLockSibling.join(parent, LISTEN);
        second.files().orElseThrow().write("list", bytes("old"));
        earlier.close();
        second.close();
        FileLockSibling alone = FileLockSibling.join(parent, LISTEN);
        assertNull(alone.files().orElseThrow().otherStamp("list"));
        alone.close();
    }

    /** Three processes run for a moment if a successor is replaced before its predecessor ends. */
    @Test
    void thirdProcessHasNoFilesBeforeOneOfTheOthersHasEnded() throws Exception {
        FileLockSibling first = FileLockSibling.join(parent, LISTEN);
        FileLockSibling second = FileLockSibling.join(parent, LISTEN);
        FileLockSibling third = FileLockSibling.join(parent, LISTEN);
        assertTrue(third.isRunning());
        assertTrue(third.files().isEmpty());
        first.close();
        assertTrue(third.isRunning());
        assertTrue(third.files().isPresent());
        assertTrue(second.isRunning(), "the third process is seen by the second");
        second.close();
        assertFalse(third.isRunning());
        third.close();
    }

    @Test
    void removedFolderMakesWritesFailAndNothingElse() throws Exception {
        Path folder = Files.createDirectory(parent.resolve("removed"));
        FileLockSibling first = FileLockSibling.join(folder, LISTEN);
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
        SiblingFiles own = first.files().orElseThrow();
        assertThrows(IOException.class, () -> own.write("list", bytes("one")));
        assertNull(own.otherStamp("list"));
        assertFalse(first.isRunning());
        first.close();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
