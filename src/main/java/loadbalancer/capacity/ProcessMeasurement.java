package loadbalancer.capacity;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Real balancers without traffic, by the size of their configuration: from the start of the process
 * to serving, and then idle.
 */
final class ProcessMeasurement implements Measurement {
    private static final int FEW_UPSTREAMS = 12;
    private static final int FEW_TENANTS = 1;
    private static final int SETTLE_MS = 2_000;
    private static final int IDLE_MS = 2_000;

    private final String dimension;
    private final int[] sizes;

    ProcessMeasurement(String dimension, int... sizes) {
        this.dimension = dimension;
        this.sizes = sizes.clone();
    }

    @Override
    public String description() {
        return "real balancers: start, memory and idle processor time by " + dimension;
    }

    @Override
    public void run(Recorder recorder) throws Exception {
        Path folder = Files.createTempDirectory("load-balancer-capacity");
        for (int size : sizes) {
            boolean byUpstreams = dimension.equals("upstreams");
            int upstreams = byUpstreams ? size : FEW_UPSTREAMS;
            int tenants = byUpstreams ? FEW_TENANTS : size;
            try (BalancerProcess process = BalancerProcess.start(folder, upstreams, tenants)) {
                measure(recorder, process, size);
            }
        }
    }

    private void measure(Recorder recorder, BalancerProcess process, int size) throws Exception {
        recorder.add("process.start", dimension, size, process.awaitReady(), "s");
        recorder.add("process.start_processor", dimension, size, process.processorSeconds(), "s");
        Thread.sleep(SETTLE_MS);
        Map<String, Long> before = process.threadNanos();
        long startedAt = System.nanoTime();
        Thread.sleep(IDLE_MS);
        long cpu = 0;
        for (Map.Entry<String, Long> thread : process.threadNanos().entrySet()) {
            cpu += thread.getValue() - before.getOrDefault(thread.getKey(), 0L);
        }
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        recorder.add("process.idle", dimension, size, cpu / 1e6 / seconds, "ms a second");
        recorder.add("process.resident", dimension, size, process.residentBytes(), "B");
    }
}
