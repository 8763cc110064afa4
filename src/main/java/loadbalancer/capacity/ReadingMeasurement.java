package loadbalancer.capacity;

import java.util.List;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.node.Config;

/**
 * Reading a configuration file, and applying to a module what it says: how long the thread is kept
 * by each, since a balancer does both on its event loop.
 */
final class ReadingMeasurement implements Measurement {
    private static final int GROUP = 860;
    private static final int FEW_UPSTREAMS = 12;
    private static final int FEW_TENANTS = 1;
    private static final int[] UPSTREAMS = {100, 300, 1_000, 3_000, 9_100};
    private static final int[] TENANTS = {100, 500, 2_000, 10_000, 54_000};
    private static final int WARM_UPS = 5;
    private static final int CALLS = 5;

    @Override
    public String description() {
        return "reading a configuration and applying it to a module, by upstreams and tenants";
    }

    @Override
    public void run(Recorder recorder) throws Exception {
        for (int size : UPSTREAMS) {
            read(recorder, "upstreams", size, new ConfigurationText(size, FEW_TENANTS));
            applyLists(recorder, size);
        }
        for (int size : TENANTS) {
            read(recorder, "tenants", size, new ConfigurationText(FEW_UPSTREAMS, size));
            applySettings(recorder, size);
        }
    }

    private static void read(Recorder recorder, String dimension, int size, ConfigurationText text)
            throws Exception {
        byte[] bytes = text.bytes();
        CallTimes times = new CallTimes();
        for (int i = 0; i < WARM_UPS + CALLS; i++) {
            if (i == WARM_UPS) {
                times.reset();
            }
            long before = System.nanoTime();
            Config.parse(bytes);
            times.add(System.nanoTime() - before);
        }
        recorder.add("reading.file", dimension, size, bytes.length, "B");
        recorder.add("reading.mean", dimension, size, times.meanMicros() / 1e3, "ms");
        recorder.add("reading.longest", dimension, size, times.longestMillis(), "ms");
    }

    /** A whole list that names one upstream anew, and a change of one upstream. */
    private static void applyLists(Recorder recorder, int size) {
        ModuleSetup setup = new ModuleSetup(GROUP, size, 0, false);
        ModuleDriver driver = new ModuleDriver(setup);
        CallTimes whole = new CallTimes();
        CallTimes change = new CallTimes();
        for (int i = 0; i < WARM_UPS + CALLS; i++) {
            if (i == WARM_UPS) {
                whole.reset();
                change.reset();
            }
            List<EndpointDescriptor> list = setup.list();
            list.set(0, ModuleSetup.upstream(0, 2 + i));
            whole.measure(
                    () ->
                            driver.module()
                                    .updateEndpoints(
                                            driver.now(), EndpointListUpdateType.FULL, list));
            List<EndpointDescriptor> one = List.of(ModuleSetup.upstream(1, 2 + i));
            change.measure(
                    () ->
                            driver.module()
                                    .updateEndpoints(
                                            driver.now(), EndpointListUpdateType.DELTA, one));
        }
        recorder.add("applying.list.longest", "upstreams", size, whole.longestMillis(), "ms");
        recorder.add("applying.change.longest", "upstreams", size, change.longestMillis(), "ms");
    }

    /**
     * Settings with one tenant more or less than before, so that all of their buckets are made
     * anew.
     */
    private static void applySettings(Recorder recorder, int size) {
        ModuleSetup setup = new ModuleSetup(GROUP, FEW_UPSTREAMS, size, false);
        ModuleDriver driver = new ModuleDriver(setup);
        CallTimes times = new CallTimes();
        for (int i = 0; i < WARM_UPS + CALLS; i++) {
            if (i == WARM_UPS) {
                times.reset();
            }
            LoadBalancerSettings next = setup.withTenants(size + i % 2).settings();
            times.measure(() -> driver.module().updateSettings(driver.now(), next));
        }
        recorder.add("applying.settings.longest", "tenants", size, times.longestMillis(), "ms");
    }
}
