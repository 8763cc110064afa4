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
import loadbalancer.snapshot.InvalidStoredFileException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Restarts of a balancer while no control server is reachable. */
class ControlBindingRestoreTest extends ControlBindingFixture {
    @Test
    void restoresStateInForceWithoutControlServers() throws Exception {
        start(ListSource.CONTROL, diskStorage());
        next(opened);
        publish(FIRST, service(), requestClass("order", 4), upstream("a", Upstream.State.DRAINING));
        next(written);
        Config restarted = start(ListSource.CONTROL, diskStorage());
        assertEquals(List.of("order"), restarted.facts().classNames());
        assertEquals("a", restarted.known().entries().get(0).id());
        assertEquals(17, restarted.known().version());
        SubscribeRequest request = next(opened);
        assertEquals(FIRST, request.revision());
        assertEquals(published.digest(Scope.of(Samples.SERVICE)), request.digest());
        lists.clear();
        onLoop(
                () -> {
                    events.heartbeat();
                    return null;
                });
        assertEquals(1, lists.size(), "a heartbeat confirms the restored list");
    }

    @ParameterizedTest
    @ValueSource(strings = {"truncated", "unknown format", "newer version", "other service"})
    void startsWithoutStateWhenFileIsUnusable(String defect) throws Exception {
        start(ListSource.DISCOVERY, diskStorage());
        next(opened);
        publish(FIRST, service(), requestClass("order", 4));
        next(written);
        damage(defect);
        assertEquals(Samples.file(), start(ListSource.DISCOVERY, diskStorage()).facts());
        assertEquals(Revision.NONE, next(opened).revision());
    }

    private void damage(String defect) throws IOException {
        String valid = Files.readString(stateFile());
        switch (defect) {
            case "truncated" ->
                    Files.writeString(stateFile(), valid.substring(0, valid.length() - 20));
            case "unknown format" -> Files.writeString(stateFile(), "noise\n");
            case "newer version" ->
                    Files.writeString(
                            stateFile(),
                            valid.replaceFirst("yewyoke-control 1 ", "yewyoke-control 2 "));
            default -> Files.write(stateFile(), stateOfOtherService());
        }
    }

    private byte[] stateOfOtherService() throws IOException {
        try {
            AppliedStateFiles files =
                    new AppliedStateFiles(
                            new DirectoryStorage(folder), "control-lb-2.state", "w", 1 << 20);
            ResourceState other = Samples.state(FIRST, new Service("till", null, null));
            files.write(new AppliedStateFiles.Copy(FIRST, other.resources().toList()));
            return Files.readAllBytes(folder.resolve("control-lb-2.state"));
        } catch (InvalidStoredFileException e) {
            throw new IllegalStateException(e);
        }
    }
}
