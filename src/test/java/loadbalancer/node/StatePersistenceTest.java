package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.peer.Sockets.Server;
import loadbalancer.snapshot.Storage;
import org.junit.jupiter.api.Test;

/** Snapshots must be written again once the disk recovers, whatever exception it threw before. */
class StatePersistenceTest extends LoopbackNodeFixture {
    private static final int PATIENCE_S = 20;
    private final CountDownLatch written = new CountDownLatch(1);

    /** A disk whose first two writes fail. */
    private final class FailingDisk implements Storage {
        private final RuntimeException failure;
        private int writes;

        FailingDisk(RuntimeException failure) {
            this.failure = failure;
        }

        @Override
        public void write(String name, byte[] bytes) {
            if (writes++ < 2) {
                throw failure;
            }
            written.countDown();
        }

        @Override
        public void rename(String from, String to) {}

        @Override
        public boolean has(String name) {
            return false;
        }

        @Override
        public byte[] read(String name, int most) throws IOException {
            throw new IOException("the file does not exist");
        }

        @Override
        public void sync() {}
    }

    /** A disk without files that records the names passed to {@link #has}. */
    private static final class RecordingDisk implements Storage {
        private final Set<String> names = ConcurrentHashMap.newKeySet();

        @Override
        public void write(String name, byte[] bytes) {}

        @Override
        public void rename(String from, String to) {}

        @Override
        public boolean has(String name) {
            names.add(name);
            return false;
        }

        @Override
        public byte[] read(String name, int most) throws IOException {
            throw new IOException("the file does not exist");
        }

        @Override
        public void sync() {}
    }

    @Test
    void startReadsFilesUnderTheNamesOfTheFormerVersion() throws Exception {
        RecordingDisk disk = new RecordingDisk();
        startNode(
                writeConfiguration(ready(server(SERVE)), server(HANG)),
                new StateStorage(disk, Runnable::run));
        assertTrue(
                disk.names.containsAll(
                        Set.of("yewyoke--127-0-0-1-0.state", "yewyoke--127-0-0-1-0.state.1")),
                disk.names.toString());
    }

    @Test
    void writesAgainAfterAnUncheckedException() throws Exception {
        Server upstream = server(SERVE);
        StateStorage storage =
                new StateStorage(
                        new FailingDisk(new IllegalStateException("intended failure")),
                        Runnable::run);
        startNode(writeConfiguration(ready(upstream), server(HANG)), storage);
        assertTrue(
                written.await(PATIENCE_S, TimeUnit.SECONDS),
                "no snapshot was written after the failures");
    }
}
