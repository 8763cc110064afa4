package loadbalancer.schedule.weighting;

import java.util.Locale;
import java.util.function.Consumer;

/**
 * What the plan needs to know of the traffic: its mean utilisation over some seconds. Single
 * reports cover a tenth of a second and go from nothing to all. Says when room begins to win over
 * the calendar, and when it does so no more.
 */
public final class Headroom {
    /** Smoothing of the mean in each period: 20 periods of the mechanism are 5 s. */
    private static final double SMOOTH = 0.05;

    /**
     * So long in full before it is said to be over: traffic hovers about the point where it begins.
     */
    private static final long QUIET = 60_000_000;

    private final Consumer<String> lines;
    private boolean relaxed;
    private double mean;
    private long lastAt;

    /** Lines go there. */
    public Headroom(Consumer<String> lines) {
        this.lines = lines;
    }

    /** The mean to plan by, once a new one of {@link Steering#mean} is there. */
    public double smoothed(double latest) {
        mean = mean == 0 ? latest : mean + SMOOTH * (latest - mean);
        return mean;
    }

    /** What of the factors is kept now, 0 to 1. */
    public void note(long now, double kept) {
        if (kept < 1) {
            lastAt = now;
            if (!relaxed) {
                relaxed = true;
                lines.accept(
                        String.format(
                                Locale.ROOT,
                                "calendar: factors leave too little room; "
                                        + "%.0f%% of their effect is kept",
                                100 * kept));
            }
        } else if (relaxed && now - lastAt >= QUIET) {
            relaxed = false;
            lines.accept("calendar: room for the whole factors again");
        }
    }
}
