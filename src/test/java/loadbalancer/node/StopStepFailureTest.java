package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.snapshot.DirectoryStorage;
import loadbalancer.transport.SocketTransport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a process that does not stop because something that the shutdown does not need has
 * failed: the connections are drained, and the process ends, whichever step throws.
 */
class StopStepFailureTest extends LoopbackNodeFixture {
    /** SIGKILL comes no sooner than this after SIGTERM, with the deadlines of the fixture. */
    private static final long KILL_MILLIS = 3_700;

    /** What throws from the stop on. */
    private enum FailingStep {
        LEADERSHIP,
        SHARED_STATE,
        STATE_STORAGE,
        SIBLING_RUNNING,
        SIBLING_LISTENING,
        ANNOUNCEMENT
    }

    /** Null until the stop. */
    private final AtomicReference<FailingStep> failing = new AtomicReference<>();

    private void failIf(FailingStep step) {
        if (failing.get() == step) {
            throw new IllegalStateException("made to fail: " + step);
        }
    }

    /** A balancer without a sibling process. */
    private final class FailingSibling implements SiblingProcess {
        @Override
        public boolean isRunning() {
            failIf(FailingStep.SIBLING_RUNNING);
            return false;
        }

        @Override
        public boolean isListening() {
            failIf(FailingStep.SIBLING_LISTENING);
            return false;
        }

        @Override
        public void setListening(boolean isListening) {
            failIf(FailingStep.ANNOUNCEMENT);
        }

        @Override
        public Optional<SiblingFiles> files() {
            failIf(FailingStep.SHARED_STATE);
            return Optional.empty();
        }

        @Override
        public void close() {}
    }

    /** Overlays nothing. */
    private final class FailingOverlay implements ConfigOverlay {
        @Override
        public Config atStart(Config file) {
            return file;
        }

        @Override
        public Config overlay(Config file) {
            return file;
        }

        @Override
        public Optional<ListSource> listSource() {
            return Optional.empty();
        }

        @Override
        public Optional<SharedState<?>> sharedState() {
            return Optional.empty();
        }

        @Override
        public void start(ConfigTarget balancer) {}

        @Override
        public void setLeading(boolean leads) {
            failIf(FailingStep.LEADERSHIP);
        }
    }

    private void startWithFailingParts() throws Exception {
        Path file = writeConfiguration(ready(server(SERVE)), server(HANG));
        StateStorage storage =
                new StateStorage(
                        new DirectoryStorage(folder),
                        task -> {
                            failIf(FailingStep.STATE_STORAGE);
                            task.run();
                        });
        running =
                group.next()
                        .submit(
                                () ->
                                        Node.create(
                                                new NodeDependencies(
                                                        () -> Config.read(file),
                                                        new SocketTransport(group.next()),
                                                        figures,
                                                        storage,
                                                        LoadBalancerFactory.BALANCE,
                                                        new FailingOverlay()),
                                                listen -> new FailingSibling()))
                        .sync()
                        .getNow();
        running.listen();
        node = running.server();
    }

    @ParameterizedTest
    @EnumSource(FailingStep.class)
    void drainsAndEndsInTime(FailingStep step) throws Exception {
        startWithFailingParts();
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        failing.set(step);
        long stoppedAtNanos = System.nanoTime();
        Future<Void> stopped = running.stop();
        // A resting connection is ended 3 s after the signal.
        assertNull(client.read());
        client.close();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedAtNanos);
        assertTrue(
                stopped.await(KILL_MILLIS - elapsedMillis, TimeUnit.MILLISECONDS),
                "the process does not end before SIGKILL");
    }
}
