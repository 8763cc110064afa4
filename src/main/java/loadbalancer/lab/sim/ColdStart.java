package loadbalancer.lab.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import loadbalancer.lab.scenario.Section;

/**
 * A server's cold start: the share of its capacity that it has, and how it falls over under too
 * much.
 */
final class ColdStart {
    private static final int BUCKETS = 20;

    private final Machine machine;
    private final double multiple;
    private final long window;
    private final long latest;
    private long startedAt = Long.MIN_VALUE;
    private double doneAtStart = Double.NaN;
    private boolean warm = true;

    /** Buckets of the last window: begin, work sent, capacity. */
    private final Deque<double[]> buckets = new ArrayDeque<>();

    ColdStart(Machine machine, Section servers, long latest) {
        this.machine = machine;
        this.multiple = servers.number("fall_multiple");
        this.window = servers.micros("fall_s");
        this.latest = latest;
    }

    void start(long now) {
        startedAt = now;
        doneAtStart = Double.NaN;
        warm = machine.coldTime() <= 0 || machine.coldFrom() >= 1;
        buckets.clear();
    }

    boolean changing() {
        return !warm;
    }

    /**
     * Present share of the capacity, from {@code coldFrom} to 1; {@code done} is all work done so
     * far.
     */
    double share(long now, double done) {
        if (warm) {
            return 1;
        }
        if (Double.isNaN(doneAtStart)) {
            doneAtStart = done;
        }
        double age = now - startedAt;
        double progress = age / machine.coldTime();
        if (machine.warmsByWork()) {
            double all = machine.power() * machine.coldTime() * (1 + machine.coldFrom()) / 2;
            progress = Math.max((done - doneAtStart) / all, latest > 0 ? age / latest : 1);
        }
        warm = progress >= 1;
        return warm ? 1 : machine.coldFrom() + (1 - machine.coldFrom()) * progress;
    }

    /** Notes work sent to a cold server; true if it has been too much over the whole window. */
    boolean sent(long now, double work) {
        if (warm || multiple <= 0) {
            return false;
        }
        double[] last = buckets.peekLast();
        if (last == null || now - last[0] >= window / BUCKETS) {
            last = new double[] {now, 0};
            buckets.addLast(last);
        }
        last[1] += work;
        while (buckets.peekFirst()[0] < now - window) {
            buckets.removeFirst();
        }
        double sum = 0;
        for (double[] b : buckets) {
            sum += b[1];
        }
        double age = now - startedAt;
        double least =
                machine.coldFrom()
                        + (1 - machine.coldFrom())
                                * Math.min(
                                        1,
                                        age
                                                / Math.max(
                                                        1,
                                                        machine.warmsByWork()
                                                                ? latest
                                                                : machine.coldTime()));
        return sum > multiple * least * machine.power() * window;
    }
}
