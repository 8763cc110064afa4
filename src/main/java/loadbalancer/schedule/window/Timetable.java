package loadbalancer.schedule.window;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Which windows are in effect at an instant: a function of the instant alone, so that balancers
 * agree. Immutable.
 */
public final class Timetable {
    private final List<Window> windows;

    /** Of those windows; two of one priority must not overlap. */
    public Timetable(List<Window> windows) {
        this.windows = windows.stream().sorted(Comparator.comparingInt(Window::priority)).toList();
    }

    /**
     * The factors at an instant, microseconds of UTC; valid until the next change of any window.
     */
    public WeightFactors at(long utcMicros) {
        List<WeightFactors.ActiveWindow> activeWindows = new ArrayList<>();
        long validUntil = Long.MAX_VALUE;
        for (Window window : windows) {
            List<Long> starts =
                    window.recurrence().occurrences(utcMicros - window.lengthMicros(), utcMicros);
            // Several occurrences overlap if the window is longer than its period.
            OptionalDouble rampFraction =
                    starts.stream()
                            .mapToDouble(start -> window.rampFraction(utcMicros - start))
                            .max();
            if (rampFraction.isPresent()) {
                activeWindows.add(
                        new WeightFactors.ActiveWindow(window, rampFraction.getAsDouble()));
            }
            for (long start : starts) {
                long change = start + window.nextChangeMicros(utcMicros - start);
                validUntil = Math.min(validUntil, change);
            }
            validUntil = Math.min(validUntil, window.recurrence().nextOccurrence(utcMicros));
        }
        return new WeightFactors(List.copyOf(activeWindows), validUntil);
    }
}
