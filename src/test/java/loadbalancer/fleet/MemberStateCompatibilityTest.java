package loadbalancer.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import loadbalancer.compatibility.StoredFiles;
import loadbalancer.fleet.replication.DurableMemberState;
import loadbalancer.snapshot.DirectoryStorage;
import loadbalancer.snapshot.TwoGenerationFiles;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the format of the state file: files that an earlier version stored must stay readable. */
class MemberStateCompatibilityTest {
    @TempDir Path folder;

    @Test
    void readsTheStateThatAnEarlierVersionStored() throws Exception {
        StoredFiles.copyTo(folder, "fleet-member");
        TwoGenerationFiles.ReadResult<DurableMemberState> found =
                new MemberStateFile(new DirectoryStorage(folder), "lb/1", "w").read();
        assertEquals(List.of(), found.rejections());
        DurableMemberState state = found.content();
        assertEquals(42, state.incarnation());
        assertEquals(Set.of("calendar/held"), state.durableDocuments().keySet());
        assertArrayEquals(new byte[] {1, 2}, state.durableDocuments().get("calendar/held"));
        assertEquals(1, state.flags().size());
        assertEquals("rollout/halt", state.flags().get(0).topic());
        assertEquals("lb-2", state.flags().get(0).member());
        assertArrayEquals(new byte[] {3}, state.flags().get(0).reason());
        assertEquals(Set.of("ring"), state.records().keySet());
        assertArrayEquals(new byte[] {4, 5, 6}, state.records().get("ring"));
    }

    @Test
    void writesTheSameBytesAsAnEarlierVersion() throws Exception {
        StoredFiles.copyTo(folder, "fleet-member");
        DurableMemberState state =
                new MemberStateFile(new DirectoryStorage(folder), "lb/1", "w").read().content();
        Path copy = Files.createDirectory(folder.resolve("copy"));
        new MemberStateFile(new DirectoryStorage(copy), "lb/1", "w").write(state);
        assertArrayEquals(
                Files.readAllBytes(folder.resolve("lb_1.fleet")),
                Files.readAllBytes(copy.resolve("lb_1.fleet")));
    }
}
