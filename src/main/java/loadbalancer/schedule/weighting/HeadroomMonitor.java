package loadbalancer.schedule.weighting;

import java.util.Locale;
import java.util.function.Consumer;

/**
 * Smooths the mean utilisation for {@link FactorPlanner#plan}, since a single report covers only a
 * tenth of a second, and logs when missing headroom reduces the factors. Not thread-safe; times are
 * microseconds of the monotonic clock.
 */
public final class HeadroomMonitor {
    /** Weight of the latest report period in the moving average, which covers 20 periods or 5 s. */
    private static final double SMOOTHING_FACTOR = 0.05;

    /** A reduction ends after this time at full effect, as utilisation fluctuates at the limit. */
    private static final long RECOVERY_MICROS = 60_000_000;

    private final Consumer<String> log;
    private boolean isReduced;
    private double smoothedMean;
    private long lastReducedMicros;

    /** Creates a monitor that passes log lines for operators to {@code log}. */
    public HeadroomMonitor(Consumer<String> log) {
        this.log = log;
    }

    /** Adds a value of {@link FactorPlanner#meanUtilisation} and returns the smoothed mean. */
    public double smooth(double latestMean) {
        smoothedMean =
                smoothedMean == 0
                        ? latestMean
                        : smoothedMean + SMOOTHING_FACTOR * (latestMean - smoothedMean);
        return smoothedMean;
    }

    /** Reports a plan's {@link FactorPlan#effectFraction}, 0 to 1. */
    public void onPlan(long nowMicros, double effectFraction) {
        if (effectFraction < 1) {
            lastReducedMicros = nowMicros;
            if (!isReduced) {
                isReduced = true;
                log.accept(
                        String.format(
                                Locale.ROOT,
                                "calendar: too little headroom for the weight factors; "
                                        + "their effect is reduced to %.0f%%",
                                100 * effectFraction));
            }
        } else if (isReduced && nowMicros - lastReducedMicros >= RECOVERY_MICROS) {
            isReduced = false;
            log.accept("calendar: enough headroom again; weight factors have full effect");
        }
    }
}
