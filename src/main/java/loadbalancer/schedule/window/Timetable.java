package loadbalancer.schedule.window;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Determines which windows are in effect at an instant. The result depends on the instant alone, so
 * that all balancers agree. Immutable.
 */
public final class Timetable {
    private final List<Window> windows;

    /** Creates a timetable; windows with the same priority must not apply to the same requests. */
    public Timetable(List<Window> windows) {
        this.windows = windows.stream().sorted(Comparator.comparingInt(Window::priority)).toList();
    }

    /**
     * Returns the factors at an instant in microseconds of UTC, valid until the next change of any
     * window.
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
