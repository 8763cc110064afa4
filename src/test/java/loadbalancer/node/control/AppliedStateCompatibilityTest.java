package loadbalancer.node.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import loadbalancer.compatibility.StoredFiles;
import loadbalancer.compatibility.StoredResources;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.snapshot.DirectoryStorage;
import loadbalancer.snapshot.TwoGenerationFiles;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads a control state that a balancer of an earlier version stored. */
class AppliedStateCompatibilityTest {
    @TempDir Path folder;

    @Test
    void readsStateStoredByAnEarlierVersion() throws Exception {
        StoredFiles.copyTo(folder, "balancer-control");
        AppliedStateFiles files =
                new AppliedStateFiles(
                        new DirectoryStorage(folder), "control-lb-1.state", "w", 32 << 20);
        TwoGenerationFiles.ReadResult<ResourceState> result = files.read();
        assertEquals(List.of(), result.rejections());
        ResourceState state = result.content();
        Revision revision = new Revision(2, 7);
        assertEquals(revision, state.revision());
        assertEquals(Digest.parse(StoredResources.DIGEST), state.digest(Scope.ALL));
        assertEquals(StoredResources.ALL.size(), state.size());
        for (Resource resource : StoredResources.ALL) {
            assertEquals(new VersionedResource(revision, resource), state.get(resource.id()));
        }
    }
}
