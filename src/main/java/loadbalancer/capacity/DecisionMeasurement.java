package loadbalancer.capacity;

import loadbalancer.AttemptResult;
import loadbalancer.RequestDescriptor;

/**
 * What one request costs the decision module: the calls for its arrival and for the end of its
 * attempt. Beside it, what a call of a timer costs. With some held, every upstream in use is full,
 * and for each attempt that ends one request arrives.
 */
final class DecisionMeasurement implements Measurement {
    /** Virtual time from sending to the answer. */
    private static final long SERVICE = 20 * ModuleSetup.MILLI;

    /**
     * Served one after another before anything is measured: 20 s of virtual time, so that limits
     * settle.
     */
    private static final int WARM_UP_REQUESTS = 1_000;

    private static final long WARM_UP_NANOS = 100_000_000;
    private static final long MEASURED_NANOS = 200_000_000;
    private static final int LEAST_REQUESTS = 100;

    /** More requests than that aren't sent to fill the upstreams up. */
    private static final int MOST_FILLING = 100_000;

    /** What the sizes count; the others stay at these values. */
    enum Dimension {
        UPSTREAMS,
        GROUP,
        HELD;

        String label() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    private static final int GROUP = 860;
    private static final int UPSTREAMS = 12;

    private final Dimension dimension;
    private final int[] sizes;
    private final int[] heldSizes;

    /** Measures idle and with so many held, each of them in turn unless the dimension is that. */
    DecisionMeasurement(Dimension dimension, int[] sizes, int... heldSizes) {
        this.dimension = dimension;
        this.sizes = sizes.clone();
        this.heldSizes = heldSizes.clone();
    }

    @Override
    public String description() {
        return "processor time of a decision, and of a timer, by " + dimension.label();
    }

    @Override
    public void run(Recorder recorder) {
        for (int size : sizes) {
            for (boolean keys : new boolean[] {false, true}) {
                if (dimension == Dimension.HELD) {
                    measure(
                            recorder,
                            new ModuleSetup(GROUP, UPSTREAMS, 0, keys),
                            size,
                            size,
                            "held");
                    continue;
                }
                ModuleSetup setup =
                        dimension == Dimension.GROUP
                                ? new ModuleSetup(size, UPSTREAMS, 0, keys)
                                : new ModuleSetup(GROUP, size, 0, keys);
                for (int held : heldSizes) {
                    measure(recorder, setup, held, size, held == 0 ? "idle" : "held" + held);
                }
            }
        }
    }

    private void measure(Recorder recorder, ModuleSetup setup, int held, int size, String state) {
        ModuleDriver driver = new ModuleDriver(setup);
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            serve(driver, new CallTimes());
        }
        play(driver, held, WARM_UP_NANOS, new CallTimes());
        driver.timerTimes().reset();
        long unservedBefore = driver.unserved();
        long requestsBefore = driver.requests();
        CallTimes decisions = new CallTimes();
        play(driver, held, MEASURED_NANOS, decisions);
        String name = (setup.keys() ? ".keys." : ".no_keys.") + state;
        double requests = driver.requests() - requestsBefore;
        recorder.add("decision" + name, dimension.label(), size, decisions.meanMicros(), "us");
        recorder.add(
                "timer" + name, dimension.label(), size, driver.timerTimes().meanMicros(), "us");
        recorder.add(
                "unserved" + name,
                dimension.label(),
                size,
                (driver.unserved() - unservedBefore) / requests,
                "of requests");
    }

    /** Plays until so much real time has gone by, and a least number of requests. */
    private static void play(ModuleDriver driver, int held, long nanos, CallTimes decisions) {
        long until = System.nanoTime() + nanos;
        while (System.nanoTime() < until || decisions.calls() < LEAST_REQUESTS) {
            if (held == 0) {
                serve(driver, decisions);
            } else {
                serveWithSomeHeld(driver, held, decisions);
            }
        }
    }

    /** One request from its arrival to its answer, with no other beside it. */
    private static void serve(ModuleDriver driver, CallTimes decisions) {
        RequestDescriptor request = driver.nextRequest();
        CallTimes arrival = new CallTimes();
        arrival.measure(() -> driver.arrive(request));
        driver.advance(SERVICE);
        AttemptResult end = driver.nextEnd();
        CallTimes ending = new CallTimes();
        if (end != null) {
            ending.measure(() -> driver.end(end));
        }
        decisions.add(arrival, ending);
    }

    /** One attempt ends and one request arrives, with that many held before. */
    private static void serveWithSomeHeld(ModuleDriver driver, int held, CallTimes decisions) {
        for (int i = 0; i < MOST_FILLING && driver.held() < held; i++) {
            driver.arrive(driver.nextRequest());
        }
        driver.advance(SERVICE / Math.max(1, driver.underWay()));
        AttemptResult end = driver.nextEnd();
        CallTimes ending = new CallTimes();
        if (end != null) {
            ending.measure(() -> driver.end(end));
        }
        RequestDescriptor request = driver.nextRequest();
        CallTimes arrival = new CallTimes();
        arrival.measure(() -> driver.arrive(request));
        decisions.add(arrival, ending);
    }
}
