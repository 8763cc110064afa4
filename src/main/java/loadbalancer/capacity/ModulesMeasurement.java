package loadbalancer.capacity;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

/**
 * Many modules in one process, each with the target's mean number of upstreams and without
 * requests: their timers in virtual time, and their heap.
 */
final class ModulesMeasurement implements Measurement {
    static final int[] SIZES = {1, 10, 50, 200, 590};

    /** 9,100 upstreams in 590 services. */
    static final int UPSTREAMS_EACH = 15;

    private static final int GROUP = 860;
    private static final long STEP = ModuleSetup.MILLI;
    private static final int WARM_UP_SECONDS = 10;
    private static final int MEASURED_SECONDS = 10;

    @Override
    public String description() {
        return "timers and heap of many idle modules in one process, in virtual time";
    }

    /** One of the modules. */
    static ModuleSetup setup() {
        return new ModuleSetup(GROUP, UPSTREAMS_EACH, 0, false);
    }

    @Override
    public void run(Recorder recorder) {
        play(modules(SIZES[0]), WARM_UP_SECONDS); // what is loaded once counts for none of them
        for (int size : SIZES) {
            measure(recorder, size);
        }
    }

    /** A method of its own, so that the modules of the size before are garbage when it begins. */
    private static void measure(Recorder recorder, int size) {
        long before = Heap.used();
        List<ModuleDriver> modules = modules(size);
        recorder.add("modules.heap", "modules", size, Heap.used() - before, "B");
        play(modules, WARM_UP_SECONDS);
        modules.forEach(m -> m.timerTimes().reset());
        long cpuBefore = threadCpu();
        play(modules, MEASURED_SECONDS);
        double cpuMillis = (threadCpu() - cpuBefore) / 1e6;
        long timers = modules.stream().mapToLong(m -> m.timerTimes().calls()).sum();
        double moduleMillis =
                modules.stream().mapToDouble(m -> m.timerTimes().totalSeconds()).sum() * 1e3;
        recorder.add(
                "modules.timers",
                "modules",
                size,
                timers / (double) MEASURED_SECONDS,
                "calls a second");
        recorder.add(
                "modules.timer_time",
                "modules",
                size,
                moduleMillis / MEASURED_SECONDS,
                "ms a second");
        recorder.add(
                "modules.with_harness",
                "modules",
                size,
                cpuMillis / MEASURED_SECONDS,
                "ms a second");
    }

    private static List<ModuleDriver> modules(int count) {
        List<ModuleDriver> modules = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            modules.add(new ModuleDriver(setup()));
        }
        return modules;
    }

    /** In small steps, so that modules take turns as on one event loop. */
    private static void play(List<ModuleDriver> modules, int seconds) {
        for (long step = 0; step < seconds * ModuleSetup.SECOND / STEP; step++) {
            modules.forEach(m -> m.advance(STEP));
        }
    }

    private static long threadCpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
