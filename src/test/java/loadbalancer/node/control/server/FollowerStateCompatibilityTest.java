package loadbalancer.node.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.Optional;
import loadbalancer.compatibility.StoredFiles;
import loadbalancer.compatibility.StoredResources;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.transport.SocketTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads a state that a follower of an earlier version stored. */
class FollowerStateCompatibilityTest {
    @TempDir Path folder;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void shutDown() {
        group.shutdownGracefully();
    }

    @Test
    void readsStateStoredByAnEarlierVersion() throws Exception {
        StoredFiles.copyTo(folder, "follower");
        FollowerStateFile file =
                new FollowerStateFile(
                        new SocketTransport(group.next()), Runnable::run, Optional.of(folder));
        ResourceState state = file.read();
        Revision revision = new Revision(2, 7);
        assertEquals(revision, state.revision());
        assertEquals(Digest.parse(StoredResources.DIGEST), state.digest(Scope.ALL));
        assertEquals(StoredResources.ALL.size(), state.size());
        for (Resource resource : StoredResources.ALL) {
            assertEquals(new VersionedResource(revision, resource), state.get(resource.id()));
        }
    }
}
