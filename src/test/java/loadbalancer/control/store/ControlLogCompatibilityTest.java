package loadbalancer.control.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.file.Path;
import java.util.Optional;
import loadbalancer.compatibility.StoredFiles;
import loadbalancer.compatibility.StoredResources;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.Tenant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a new version that can't read the control log of an earlier version. The stored
 * log has a snapshot of compacted segments and later segments.
 */
class ControlLogCompatibilityTest {
    @TempDir Path folder;

    @Test
    void readsSnapshotAndSegmentsOfEarlierVersion() throws Exception {
        StoredFiles.copyTo(folder, "control-log");
        try (ChangeStore store = ChangeStore.open(FileLogDirectory.open(folder), 0)) {
            ResourceState state = store.state();
            assertEquals(new Revision(4, 4), state.revision(), "a new epoch after 3.4");
            assertEquals(Digest.parse("a80b772a42e7563c"), state.digest(Scope.ALL));
            for (Resource resource : StoredResources.ALL) {
                assertEquals(resource, state.get(resource.id()).resource());
            }
            assertNull(state.get(new Tenant("shop", "gone", 1, 0).id()));
            assertEquals(
                    new Tenant("shop", "later", 2, 0.125),
                    state.get(new Tenant("shop", "later", 2, 0.125).id()).resource());
            assertEquals(StoredResources.ALL.size() + 2, state.size());
            assertEquals(Optional.empty(), store.recoveryNote());
        }
    }

    @Test
    void recognizesChangesAcceptedByEarlierVersion() throws Exception {
        StoredFiles.copyTo(folder, "control-log");
        try (ChangeStore store = ChangeStore.open(FileLogDirectory.open(folder), 0)) {
            assertEquals(Optional.of(new Revision(2, 1)), store.accepted("change-1"));
            assertEquals(Optional.of(new Revision(2, 2)), store.accepted("change-2"));
            assertEquals(Optional.of(new Revision(2, 3)), store.accepted("change-3"));
            assertEquals(Optional.of(new Revision(3, 4)), store.accepted("change-4"));
        }
    }
}
