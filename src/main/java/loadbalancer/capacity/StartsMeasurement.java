package loadbalancer.capacity;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Several real balancers that start at once: how long until the last one serves, and what each
 * spends.
 */
final class StartsMeasurement implements Measurement {
    private static final int[] SIZES = {1, 2, 4, 8, 16, 32};
    private static final int UPSTREAMS = 100;
    private static final int TENANTS = 100;

    @Override
    public String description() {
        return "real balancers that start at once: time to serving and processor time";
    }

    @Override
    public void run(Recorder recorder) throws Exception {
        Path folder = Files.createTempDirectory("load-balancer-capacity");
        for (int size : SIZES) {
            List<BalancerProcess> processes = new ArrayList<>();
            try {
                for (int i = 0; i < size; i++) {
                    processes.add(BalancerProcess.start(folder, UPSTREAMS, TENANTS));
                }
                record(recorder, processes);
            } finally {
                processes.forEach(BalancerProcess::stop);
                processes.forEach(BalancerProcess::close);
            }
        }
    }

    private static void record(Recorder recorder, List<BalancerProcess> processes)
            throws Exception {
        double last = 0;
        double processor = 0;
        for (BalancerProcess process : processes) {
            last = Math.max(last, process.awaitReady());
            processor += process.processorSeconds();
        }
        int size = processes.size();
        recorder.add("starts.last", "starts", size, last, "s");
        recorder.add("starts.processor", "starts", size, processor / size, "s each");
    }
}
