package loadbalancer.schedule.window;

import java.util.Set;

/**
 * A factor on some upstreams' weights, for some classes and tenants, at each occurrence of its
 * recurrence. Immutable.
 *
 * @param lengthMicros elapsed time of an occurrence, whatever the wall clock does meanwhile
 * @param rampMicros whole seconds over which the factor ramps in and out, within the length
 * @param classes names, empty for all
 * @param tenants names, empty for all
 * @param factor 0.1 to 10
 * @param priority of two that overlap the higher one wins
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
    /** A ramp goes in steps, so that between two all balancers have the same factor. */
    static final long RAMP_STEP_MICROS = 1_000_000;

    /** Whether this window applies to requests of that class and tenant at that upstream. */
    boolean applies(UpstreamAttributes upstream, String requestClass, String tenant) {
        return (classes.isEmpty() || classes.contains(requestClass))
                && (tenants.isEmpty() || tenants.contains(tenant))
                && target.matches(upstream);
    }

    /** Whether no request is in both, at any time. */
    boolean isDisjointFrom(Window other) {
        return target.isDisjointFrom(other.target)
                || UpstreamSelector.areDisjoint(classes, other.classes)
                || UpstreamSelector.areDisjoint(tenants, other.tenants);
    }

    /** How far an occurrence is ramped in, 0 to 1, so long after its start. */
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

    /** The first time after {@code elapsedMicros} since its start at which the fraction changes. */
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
