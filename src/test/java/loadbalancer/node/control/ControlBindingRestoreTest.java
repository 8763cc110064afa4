package loadbalancer.node.control;

import static loadbalancer.node.control.Samples.requestClass;
import static loadbalancer.node.control.Samples.service;
import static loadbalancer.node.control.Samples.upstream;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.Service;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.Upstream;
import loadbalancer.node.Config;
import loadbalancer.settings.ControlSubscription.ListSource;
import loadbalancer.snapshot.DirectoryStorage;
import loadbalancer.snapshot.InvalidSnapshotException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a balancer restores after a restart with control down. */
class ControlBindingRestoreTest extends ControlBindingFixture {
    @Test
    void aStartWithControlDownRestoresTheStateInForce() throws Exception {
        start(ListSource.CONTROL, onDisk());
        next(opened);
        publish(FIRST, service(), requestClass("order", 4), upstream("a", Upstream.State.DRAINING));
        next(written);
        Config again = start(ListSource.CONTROL, onDisk());
        assertEquals(List.of("order"), again.facts().classNames());
        assertEquals("a", again.known().entries().get(0).id());
        assertEquals(17, again.known().version());
        SubscribeRequest request = next(opened);
        assertEquals(FIRST, request.revision());
        assertEquals(published.digest(Scope.of(Samples.SERVICE)), request.digest());
        lists.clear();
        onLoop(
                () -> {
                    events.heartbeat();
                    return null;
                });
        assertEquals(1, lists.size(), "the list it started from is confirmed");
    }

    @ParameterizedTest
    @ValueSource(strings = {"torn", "foreign", "newer", "of another service"})
    void aStateFileThatCannotBeUsedDoesNotPreventTheStart(String why) throws Exception {
        start(ListSource.DISCOVERY, onDisk());
        next(opened);
        publish(FIRST, service(), requestClass("order", 4));
        next(written);
        damage(why);
        assertEquals(Samples.file(), start(ListSource.DISCOVERY, onDisk()).facts());
        assertEquals(Revision.NONE, next(opened).revision());
    }

    private void damage(String why) throws IOException {
        String good = Files.readString(stateFile());
        switch (why) {
            case "torn" -> Files.writeString(stateFile(), good.substring(0, good.length() - 20));
            case "foreign" -> Files.writeString(stateFile(), "noise\n");
            case "newer" ->
                    Files.writeString(
                            stateFile(),
                            good.replaceFirst("yewyoke-control 1 ", "yewyoke-control 2 "));
            default -> Files.write(stateFile(), ofAnotherService());
        }
    }

    private byte[] ofAnotherService() throws IOException {
        try {
            AppliedStateFiles files =
                    new AppliedStateFiles(
                            new DirectoryStorage(folder), "control-lb-2.state", "w", 1 << 20);
            ResourceState other = Samples.state(FIRST, new Service("till", null, null));
            files.write(new AppliedStateFiles.Copy(FIRST, other.resources().toList()));
            return Files.readAllBytes(folder.resolve("control-lb-2.state"));
        } catch (InvalidSnapshotException e) {
            throw new IllegalStateException(e);
        }
    }
}
