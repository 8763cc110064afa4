package loadbalancer.capacity;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.EndpointDescriptor;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.snapshot.InvalidStoredFileException;
import loadbalancer.snapshot.ListedEndpoint;
import loadbalancer.snapshot.Snapshot;
import loadbalancer.snapshot.SnapshotFormat;

/**
 * The file that a balancer with a state folder writes each second: its size, and the time to gather
 * what it holds and to put it into bytes, without the disk.
 */
final class SnapshotMeasurement implements Measurement {
    private static final int[] UPSTREAMS = {100, 300, 1_000, 3_000, 9_100};
    private static final int GROUP = 860;
    private static final int WARM_UPS = 10;
    private static final int CALLS = 10;

    @Override
    public String description() {
        return "what a balancer keeps of its state each second: bytes and time by upstreams";
    }

    @Override
    public void run(Recorder recorder) throws InvalidStoredFileException {
        for (int size : UPSTREAMS) {
            ModuleSetup setup = new ModuleSetup(GROUP, size, 0, false);
            ModuleDriver driver = new ModuleDriver(setup);
            CallTimes times = new CallTimes();
            int bytes = 0;
            for (int i = 0; i < WARM_UPS + CALLS; i++) {
                if (i == WARM_UPS) {
                    times.reset();
                }
                long before = System.nanoTime();
                bytes = write(driver, setup);
                times.add(System.nanoTime() - before);
            }
            recorder.add("snapshot.bytes", "upstreams", size, bytes, "B");
            recorder.add("snapshot.time", "upstreams", size, times.meanMicros() / 1e3, "ms");
        }
    }

    private static int write(ModuleDriver driver, ModuleSetup setup)
            throws InvalidStoredFileException {
        LoadBalancerSnapshot memory =
                driver.module().exportState(driver.now(), 0, setup.upstreams());
        List<ListedEndpoint> entries = new ArrayList<>();
        for (EndpointDescriptor upstream : setup.list()) {
            entries.add(
                    new ListedEndpoint(
                            upstream.id(),
                            "127.0.0.1:8080",
                            "zone-" + upstream.zoneIndex(),
                            "standard",
                            upstream.cellIndex(),
                            upstream.state(),
                            upstream.capacityWeight(),
                            0));
        }
        return SnapshotFormat.write(new Snapshot(0, "127.0.0.1:9", 1, 0, entries, memory)).length;
    }
}
