package loadbalancer.snapshot;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import loadbalancer.ClassSnapshot;
import loadbalancer.EndpointSnapshot;
import loadbalancer.EndpointState;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.compatibility.StoredFiles;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a snapshot written by an earlier version is read with all its values. */
class SnapshotCompatibilityTest {
    @TempDir Path folder;

    @Test
    void readsSnapshotOfEarlierVersion() throws Exception {
        StoredFiles.copyTo(folder, "balancer-state");
        SnapshotStore store =
                new SnapshotStore(new DirectoryStorage(folder), "yewyoke--127-0-0-1-8080", "w");
        TwoGenerationFiles.ReadResult<Snapshot> result = store.read();
        assertEquals(List.of(), result.rejections());
        assertEquals(expected(), result.content());
    }

    private static Snapshot expected() {
        return new Snapshot(
                1_767_225_700_000L,
                "10.9.9.9:9500",
                77,
                150,
                List.of(
                        new ListedEndpoint(
                                "srv-0",
                                "10.0.0.1:8080",
                                "zone-a",
                                "large",
                                3,
                                EndpointState.DRAINING,
                                1.25,
                                1_767_225_600_000L),
                        new ListedEndpoint(
                                "srv-1",
                                "10.0.0.2:8080",
                                "zone-b",
                                "",
                                0,
                                EndpointState.READY,
                                1,
                                0)),
                policySnapshot());
    }

    private static LoadBalancerSnapshot policySnapshot() {
        return new LoadBalancerSnapshot(
                1.5,
                2.5,
                3.5,
                4.5,
                5.5,
                6.5,
                List.of(new ClassSnapshot("push", 12_000, 5)),
                List.of(
                        new EndpointSnapshot(
                                "srv-0",
                                1_767_225_600_000_001L,
                                12_345,
                                -0.5,
                                12.25,
                                41_235,
                                51_234,
                                5_123.5,
                                0.0125,
                                0,
                                1_000_000,
                                0.125,
                                -1.5,
                                7)));
    }
}
