package loadbalancer.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.snapshot.DirectoryStorage;
import loadbalancer.snapshot.InvalidStoredFileException;
import loadbalancer.snapshot.Snapshot;
import loadbalancer.snapshot.SnapshotFormat;
import loadbalancer.snapshot.SnapshotStore;
import loadbalancer.snapshot.TwoGenerationFiles;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Snapshots on a disk that fails, or whose machine stops, at every step. */
class StoreTest {
    private final MemoryDisk disk = new MemoryDisk();
    private final SnapshotStore store = new SnapshotStore(disk, "b", "a");

    private static byte[] bytes(long version) {
        try {
            return SnapshotFormat.write(
                    new Snapshot(1, "d", version, 0, List.of(), LoadBalancerSnapshot.EMPTY));
        } catch (InvalidStoredFileException e) {
            throw new IllegalStateException(e);
        }
    }

    private static long version(TwoGenerationFiles.ReadResult<Snapshot> found) {
        return found.content() == null ? -1 : found.content().listVersion();
    }

    @Test
    void theLastTwoAreKept() throws IOException {
        assertNull(store.read().content());
        for (long v = 1; v <= 3; v++) {
            store.write(bytes(v));
            assertEquals(v, version(store.read()));
        }
        assertEquals(List.of("b.state", "b.state.1"), List.copyOf(disk.files().keySet()));
    }

    @Test
    void aCrashAtEveryStepLeavesTheOneBeforeOrTheNewOne() throws IOException {
        boolean crashed = true;
        for (int step = 0; crashed; step++) {
            disk.files().clear();
            store.write(bytes(1));
            store.write(bytes(2));
            disk.crashAfter(step);
            crashed = false;
            try {
                store.write(bytes(3));
            } catch (MemoryDisk.Crash e) {
                crashed = true;
            }
            disk.crashAfter(Integer.MAX_VALUE);
            long left = version(new SnapshotStore(disk, "b", "next").read());
            assertTrue(left == 2 || left == 3, "step " + step + " leaves " + left);
            store.write(bytes(4));
            assertEquals(4, version(store.read()), "and the next one can be kept");
        }
    }

    @Test
    void aFullDiskLeavesTheOneBefore() throws IOException {
        store.write(bytes(1));
        disk.full(true);
        assertThrows(IOException.class, () -> store.write(bytes(2)));
        assertEquals(1, version(store.read()));
        disk.full(false);
        store.write(bytes(3));
        assertEquals(3, version(store.read()));
    }

    @Test
    void aDamagedOneIsNamedAndTheOneBeforeTaken() throws IOException {
        store.write(bytes(1));
        store.write(bytes(2));
        disk.files().get("b.state")[40] ^= 1;
        TwoGenerationFiles.ReadResult<Snapshot> found = store.read();
        assertEquals(1, version(found));
        assertEquals(1, found.rejections().size());
        assertTrue(
                found.rejections().get(0).startsWith("b.state is damaged"),
                found.rejections().get(0));
    }

    /**
     * Two processes at a time: each writes beside the other, and what has the name is always whole.
     */
    @Test
    void twoProcessesMayWrite() throws IOException {
        SnapshotStore other = new SnapshotStore(disk, "b", "z");
        store.write(bytes(1));
        disk.crashAfter(1);
        assertThrows(MemoryDisk.Crash.class, () -> store.write(bytes(2)));
        other.write(bytes(3));
        assertEquals(3, version(store.read()));
    }

    @Test
    void aFolderKeepsThemToo(@TempDir Path folder) throws IOException {
        SnapshotStore real =
                new SnapshotStore(new DirectoryStorage(folder.resolve("made")), "b", "a");
        real.write(bytes(1));
        real.write(bytes(2));
        assertEquals(2, version(real.read()));
        Files.write(
                folder.resolve("made").resolve("b.state"),
                "noise".getBytes(StandardCharsets.US_ASCII));
        assertEquals(1, version(real.read()));
    }
}
