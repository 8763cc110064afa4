package loadbalancer.node.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StateFolderTest {
    private static final Variant RUNNING = new Variant("2.1", "op.toml");
    private static final Variant PREVIOUS = new Variant("2.0", "");

    @TempDir Path folder;

    @Test
    void stateFileHasFormatOfEarlierVersions() throws IOException {
        SupervisorState state = new SupervisorState("k", RUNNING, PREVIOUS, 12);
        state.write(folder);
        assertEquals("k\n2.1\nop.toml\n2.0\n\n12\n", Files.readString(folder.resolve("runs")));
        assertEquals(state, SupervisorState.read(folder, PREVIOUS));
    }

    @Test
    void rejectsDamagedStateFile() throws IOException {
        Files.writeString(folder.resolve("runs"), "k\n2.1\n");
        assertThrows(InvalidStateException.class, () -> SupervisorState.read(folder, PREVIOUS));
    }

    @Test
    void processFileHasFormatOfEarlierVersions() throws IOException {
        SupervisedProcessRecord record =
                new SupervisedProcessRecord(
                        "id-1",
                        4711,
                        1_800_000_000_123L,
                        RUNNING,
                        new InetSocketAddress("127.0.0.1", 9601));
        record.write(folder);
        assertEquals(
                "4711\n1800000000123\n2.1\nop.toml\n127.0.0.1\n9601\nend\n",
                Files.readString(folder.resolve("id-1.process")));
        assertEquals(List.of(record), SupervisedProcessRecord.readAll(folder));
    }

    @Test
    void folderIsLockedUntilChannelIsClosed() throws IOException {
        FileChannel lock = StateFolder.lock(folder);
        assertThrows(StateFolderLockedException.class, () -> StateFolder.lock(folder));
        lock.close();
        StateFolder.lock(folder).close();
    }
}
