package loadbalancer.schedule.window;

import java.util.List;

/**
 * The windows that are in effect, and until when. A user compares its clock with {@code
 * validUntilMicros} at each use and evaluates again from then on, so that a process that was
 * stopped uses nothing that has expired. Immutable.
 *
 * @param activeWindows lower priorities first
 * @param validUntilMicros of the clock that they were evaluated by; no longer valid at that instant
 */
public record WeightFactors(List<ActiveWindow> activeWindows, long validUntilMicros) {
    /** No window is in effect, for ever. */
    public static final WeightFactors NEUTRAL = new WeightFactors(List.of(), Long.MAX_VALUE);

    /**
     * A window in effect.
     *
     * @param rampFraction 0 has no effect, 1 has the full effect
     */
    public record ActiveWindow(Window window, double rampFraction) {}

    /** Whether no request is affected. */
    public boolean isNeutral() {
        return activeWindows.stream().allMatch(active -> active.rampFraction == 0);
    }

    /**
     * The factor on an upstream's weight, 0.1 to 10. While a window ramps, the factor moves
     * geometrically between that of lower priority and its own, so that nothing jumps.
     */
    public double factorFor(UpstreamAttributes upstream, String requestClass, String tenant) {
        double log = 0;
        for (ActiveWindow active : activeWindows) {
            if (active.window.applies(upstream, requestClass, tenant)) {
                log =
                        (1 - active.rampFraction) * log
                                + active.rampFraction * Math.log(active.window.factor());
            }
        }
        return Math.exp(log);
    }

    /** The same windows, valid until another instant. */
    public WeightFactors withValidUntil(long untilMicros) {
        return new WeightFactors(activeWindows, untilMicros);
    }

    /** The same windows, to be evaluated again at the next use. */
    public WeightFactors expired() {
        return withValidUntil(Long.MIN_VALUE);
    }
}
