package loadbalancer.schedule.window;

import java.util.Set;

/**
 * A recurring time window that applies a factor to the weights of selected upstreams for selected
 * classes and tenants. Immutable.
 *
 * @param lengthMicros elapsed time of an occurrence, not affected by changes of local time
 * @param rampMicros time over which the factor ramps in and out, in whole seconds, within the
 *     length
 * @param classes names of request classes; empty for all
 * @param tenants names of tenants; empty for all
 * @param factor factor on the weight, 0.1 to 10
 * @param priority the higher priority wins where windows overlap
 */
public record Window(
        String name,
        Recurrence recurrence,
        long lengthMicros,
        long rampMicros,
        UpstreamSelector target,
        Set<String> classes,
        Set<String> tenants,
        double factor,
        int priority) {
    /** Ramps advance in steps, so that all balancers have the same factor between two steps. */
    static final long RAMP_STEP_MICROS = 1_000_000;

    /** Returns whether this window applies to requests of a class and tenant at an upstream. */
    boolean applies(UpstreamAttributes upstream, String requestClass, String tenant) {
        return (classes.isEmpty() || classes.contains(requestClass))
                && (tenants.isEmpty() || tenants.contains(tenant))
                && target.matches(upstream);
    }

    /** Returns whether no request can match both windows at any time. */
    boolean isDisjointFrom(Window other) {
        return target.isDisjointFrom(other.target)
                || UpstreamSelector.areDisjoint(classes, other.classes)
                || UpstreamSelector.areDisjoint(tenants, other.tenants);
    }

    /**
     * Returns the ramp fraction, 0 to 1, of an occurrence {@code elapsedMicros} after its start.
     */
    double rampFraction(long elapsedMicros) {
        if (elapsedMicros < 0 || elapsedMicros >= lengthMicros) {
            return 0;
        }
        if (rampMicros == 0) {
            return 1;
        }
        long steps = rampMicros / RAMP_STEP_MICROS;
        long stepsIn = elapsedMicros / RAMP_STEP_MICROS;
        long stepsLeft = stepsRoundedUp(lengthMicros - elapsedMicros);
        return Math.min(1, (double) Math.min(stepsIn, stepsLeft) / steps);
    }

    /**
     * Returns the time since the start of an occurrence, later than {@code elapsedMicros}, at which
     * the ramp fraction changes next.
     */
    long nextChangeMicros(long elapsedMicros) {
        if (rampMicros == 0) {
            return lengthMicros;
        }
        if (elapsedMicros < rampMicros) {
            return (elapsedMicros / RAMP_STEP_MICROS + 1) * RAMP_STEP_MICROS;
        }
        long leftMicros = lengthMicros - elapsedMicros;
        return leftMicros > rampMicros
                ? lengthMicros - rampMicros + RAMP_STEP_MICROS
                : lengthMicros - (stepsRoundedUp(leftMicros) - 1) * RAMP_STEP_MICROS;
    }

    private static long stepsRoundedUp(long micros) {
        return (micros + RAMP_STEP_MICROS - 1) / RAMP_STEP_MICROS;
    }
}
