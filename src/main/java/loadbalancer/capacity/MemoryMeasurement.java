package loadbalancer.capacity;

import loadbalancer.node.Config;
import loadbalancer.settings.InvalidInputException;

/**
 * Heap that is held after a collection: by a module, and by what was read of a configuration file.
 * The module's includes the driver's own copy of each open request.
 */
final class MemoryMeasurement implements Measurement {
    private static final int GROUP = 860;
    private static final int FEW = 12;
    private static final int[] UPSTREAMS = {12, 100, 300, 1_000, 3_000, 9_100};
    private static final int[] TENANTS = {100, 500, 2_000, 10_000, 54_000};
    private static final int[] OPEN_REQUESTS = {100, 300, 1_000, 3_000, 10_000};

    @Override
    public String description() {
        return "heap after a collection by upstreams, tenants and open requests";
    }

    @Override
    public void run(Recorder recorder) throws Exception {
        module(FEW, 1, FEW); // what is loaded once counts for none of them
        configuration(FEW, 1);
        for (int size : UPSTREAMS) {
            recorder.add("memory.module", "upstreams", size, module(size, 0, 0), "B");
            recorder.add("memory.configuration", "upstreams", size, configuration(size, 1), "B");
        }
        for (int size : TENANTS) {
            recorder.add("memory.module", "tenants", size, module(FEW, size, 0), "B");
            recorder.add("memory.configuration", "tenants", size, configuration(FEW, size), "B");
        }
        for (int size : OPEN_REQUESTS) {
            recorder.add("memory.module", "open_requests", size, module(FEW, 0, size), "B");
        }
    }

    private static long module(int upstreams, int tenants, int openRequests) {
        return Heap.retained(
                () -> {
                    ModuleDriver driver =
                            new ModuleDriver(new ModuleSetup(GROUP, upstreams, tenants, false));
                    for (int i = 0; i < openRequests; i++) {
                        driver.arrive(driver.nextRequest());
                    }
                    return driver;
                });
    }

    private static long configuration(int upstreams, int tenants) throws Exception {
        byte[] text = new ConfigurationText(upstreams, tenants).bytes();
        long before = Heap.used();
        Config config = read(text);
        long after = Heap.used();
        java.lang.ref.Reference.reachabilityFence(config);
        java.lang.ref.Reference.reachabilityFence(text);
        return after - before;
    }

    private static Config read(byte[] text) throws Exception {
        try {
            return Config.parse(text);
        } catch (InvalidInputException e) {
            throw new IllegalStateException("the configuration that was made up is not good", e);
        }
    }
}
