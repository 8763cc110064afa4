package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Server;
import loadbalancer.snapshot.DirectoryStorage;
import loadbalancer.snapshot.Snapshot;
import loadbalancer.snapshot.SnapshotFormat;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stored list with the version of one discovery service and the address of
 * another: a process that starts from it would ignore each list of the new service whose version is
 * lower.
 */
class MovedDiscoveryStateTest extends LoopbackNodeFixture {
    @Test
    void listFromBeforeDiscoveryMovedIsStoredWithoutAVersion() throws Exception {
        Server upstream = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            Sockets.beginChunks(s);
                            Sockets.chunk(s, list(900, false));
                        });
        Server moved = server(HANG);
        running =
                startNode(
                        writeConfiguration(ready(upstream), discovery),
                        new StateStorage(new DirectoryStorage(folder), Runnable::run));
        awaitStored(discovery.addr(), 900);
        Path file = folder.resolve("config.json");
        Files.writeString(file, Files.readString(file).replace(discovery.addr(), moved.addr()));
        group.next().submit(() -> running.reload()).sync();
        assertEquals(0, awaitStored(moved.addr(), -1));
    }

    /** Waits for a snapshot with that address, and that version unless it is negative. */
    private long awaitStored(String address, long version) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Sockets.PATIENCE_S);
        while (true) {
            Snapshot stored = stored();
            if (stored != null
                    && stored.discoveryAddress().endsWith(address)
                    && (version < 0 || stored.listVersion() == version)) {
                return stored.listVersion();
            }
            assertTrue(System.nanoTime() < end, "no such snapshot is stored");
            Thread.sleep(20);
        }
    }

    private Snapshot stored() throws Exception {
        try (var files = Files.list(folder)) {
            Path state =
                    files.filter(file -> file.getFileName().toString().endsWith(".state"))
                            .findFirst()
                            .orElse(null);
            return state == null ? null : SnapshotFormat.read(Files.readAllBytes(state));
        } catch (java.nio.file.NoSuchFileException e) {
            return null; // renamed meanwhile
        }
    }
}
