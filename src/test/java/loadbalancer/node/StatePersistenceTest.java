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

/** What is known is kept again once the disk does its work, however it failed before. */
class StatePersistenceTest extends OnSockets {
    private static final int PATIENCE_S = 20;
    private final CountDownLatch written = new CountDownLatch(1);

    /** A disk of which the first writes fail. */
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
            throw new IOException("nothing is there");
        }

        @Override
        public void sync() {}
    }

    /** A disk without files, which records the names that are looked for. */
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
            throw new IOException("nothing is there");
        }

        @Override
        public void sync() {}
    }

    @Test
    void aStartReadsTheFilesThatTheFormerVersionNamed() throws Exception {
        RecordingDisk disk = new RecordingDisk();
        node(write(ready(server(SERVE)), server(HANG)), new StateStorage(disk, Runnable::run));
        assertTrue(
                disk.names.containsAll(
                        Set.of("yewyoke--127-0-0-1-0.state", "yewyoke--127-0-0-1-0.state.1")),
                disk.names.toString());
    }

    @Test
    void uncheckedFailureOfAWriteIsNotTheLast() throws Exception {
        Server upstream = server(SERVE);
        StateStorage storage =
                new StateStorage(
                        new FailingDisk(new IllegalStateException("meant to fail")), Runnable::run);
        node(write(ready(upstream), server(HANG)), storage);
        assertTrue(written.await(PATIENCE_S, TimeUnit.SECONDS), "never kept again");
    }
}
