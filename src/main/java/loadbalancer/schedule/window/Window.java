package loadbalancer.schedule.window;

import java.util.Set;

/**
 * A factor on some upstreams' weight, for some classes and tenants, whenever its recurrence says.
 *
 * @param length elapsed microseconds, whatever the clocks on the wall do meanwhile
 * @param ramp microseconds, whole seconds, over which the factor goes in and out, within the length
 * @param classes names, empty for all
 * @param tenants names, empty for all
 * @param factor 0.1 to 10
 * @param priority of two that overlap the higher one covers the lower one
 */
public record Window(
        String name,
        Recurrence recurrence,
        long length,
        long ramp,
        Target target,
        Set<String> classes,
        Set<String> tenants,
        double factor,
        int priority) {
    /**
     * A ramp goes in steps of this length, so that all balancers have the same factor between two.
     */
    static final long STEP = 1_000_000;

    /** Whether this window is about requests of that class and tenant at that upstream. */
    boolean covers(Listed up, String cls, String tenant) {
        return (classes.isEmpty() || classes.contains(cls))
                && (tenants.isEmpty() || tenants.contains(tenant))
                && target.covers(up);
    }

    /** Whether no request can be in both, whatever the time. */
    boolean isApartFrom(Window other) {
        return target.isApartFrom(other.target)
                || Target.apart(classes, other.classes)
                || Target.apart(tenants, other.tenants);
    }

    /** How far in an occurrence is, 0 to 1, {@code elapsed} after its start. */
    double position(long elapsed) {
        if (elapsed < 0 || elapsed >= length) {
            return 0;
        }
        if (ramp == 0) {
            return 1;
        }
        long steps = ramp / STEP;
        long in = elapsed / STEP;
        long out = ceil(length - elapsed);
        return Math.min(1, (double) Math.min(in, out) / steps);
    }

    /**
     * The least time after its start, later than {@code elapsed}, at which the position changes.
     */
    long nextStep(long elapsed) {
        if (ramp == 0) {
            return length;
        }
        if (elapsed < ramp) {
            return (elapsed / STEP + 1) * STEP;
        }
        long left = length - elapsed;
        return left > ramp ? length - ramp + STEP : length - (ceil(left) - 1) * STEP;
    }

    private static long ceil(long time) {
        return (time + STEP - 1) / STEP;
    }
}
