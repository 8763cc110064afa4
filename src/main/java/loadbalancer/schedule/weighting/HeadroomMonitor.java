package loadbalancer.schedule.weighting;

import java.util.Locale;
import java.util.function.Consumer;

/**
 * Smooths the mean utilisation for {@link FactorPlanner#plan}, since single reports cover a tenth
 * of a second, and logs when missing headroom reduces the factors. Not thread-safe; times are
 * microseconds of the monotonic clock.
 */
public final class HeadroomMonitor {
    /** Of the moving average, in each report period: 20 periods are 5 s. */
    private static final double SMOOTHING_FACTOR = 0.05;

    /** Full effect for so long ends a reduction: utilisation hovers about the limit. */
    private static final long RECOVERY_MICROS = 60_000_000;

    private final Consumer<String> log;
    private boolean isReduced;
    private double smoothedMean;
    private long lastReducedMicros;

    /** Lines for operators go to {@code log}. */
    public HeadroomMonitor(Consumer<String> log) {
        this.log = log;
    }

    /** The smoothed mean, given the latest one of {@link FactorPlanner#meanUtilisation}. */
    public double smooth(double latestMean) {
        smoothedMean =
                smoothedMean == 0
                        ? latestMean
                        : smoothedMean + SMOOTHING_FACTOR * (latestMean - smoothedMean);
        return smoothedMean;
    }

    /** Takes the fraction of the factors' effect that a plan keeps, 0 to 1. */
    public void onPlan(long nowMicros, double effectFraction) {
        if (effectFraction < 1) {
            lastReducedMicros = nowMicros;
            if (!isReduced) {
                isReduced = true;
                log.accept(
                        String.format(
                                Locale.ROOT,
                                "calendar: factors leave too little headroom; "
                                        + "%.0f%% of their effect remains",
                                100 * effectFraction));
            }
        } else if (isReduced && nowMicros - lastReducedMicros >= RECOVERY_MICROS) {
            isReduced = false;
            log.accept("calendar: headroom for the full factors again");
        }
    }
}
