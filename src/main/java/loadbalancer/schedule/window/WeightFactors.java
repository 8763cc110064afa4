package loadbalancer.schedule.window;

import java.util.List;

/**
 * The windows in effect and the end of their validity. A caller compares its clock with {@code
 * validUntilMicros} at each use and evaluates the windows again once it is reached, so that a
 * process that was suspended does not use expired factors. Immutable.
 *
 * @param activeWindows the windows, lower priorities first
 * @param validUntilMicros exclusive end of validity, by the clock used for the evaluation
 */
public record WeightFactors(List<ActiveWindow> activeWindows, long validUntilMicros) {
    /** No window is in effect; valid indefinitely. */
    public static final WeightFactors NEUTRAL = new WeightFactors(List.of(), Long.MAX_VALUE);

    /**
     * A window in effect.
     *
     * @param rampFraction fraction of the effect, from 0 (none) to 1 (full)
     */
    public record ActiveWindow(Window window, double rampFraction) {}

    /** Returns whether no request is affected. */
    public boolean isNeutral() {
        return activeWindows.stream().allMatch(active -> active.rampFraction == 0);
    }

    /**
     * Returns the factor on an upstream's weight, 0.1 to 10. While a window ramps, the factor is
     * interpolated geometrically between that of the lower priorities and its own, which avoids
     * jumps.
     */
    public double factorFor(UpstreamAttributes upstream, String requestClass, String tenant) {
        double logFactor = 0;
        for (ActiveWindow active : activeWindows) {
            if (active.window.applies(upstream, requestClass, tenant)) {
                logFactor =
                        (1 - active.rampFraction) * logFactor
                                + active.rampFraction * Math.log(active.window.factor());
            }
        }
        return Math.exp(logFactor);
    }

    /** Returns a copy with another end of validity. */
    public WeightFactors withValidUntil(long untilMicros) {
        return new WeightFactors(activeWindows, untilMicros);
    }

    /** Returns a copy that has expired, so that the next use evaluates the windows again. */
    public WeightFactors expired() {
        return withValidUntil(Long.MIN_VALUE);
    }
}
