package loadbalancer.schedule.window;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What is in force at an instant. A function of the instant alone: two balancers at one instant
 * agree.
 */
public final class Timetable {
    private final List<Window> windows;

    /** Of those windows; two of one priority must not overlap. */
    public Timetable(List<Window> windows) {
        this.windows = windows.stream().sorted(Comparator.comparingInt(Window::priority)).toList();
    }

    /**
     * The factors at {@code instant}, microseconds of UTC. Nothing changes before {@code
     * validUntil}.
     */
    public Factors at(long instant) {
        List<Factors.Part> parts = new ArrayList<>();
        long until = Long.MAX_VALUE;
        for (Window w : windows) {
            double position = 0;
            boolean inForce = false;
            // One that began before, and several of one window if it is longer than its period: the
            // one that
            // is furthest in counts.
            for (long start : w.recurrence().starts(instant - w.length(), instant)) {
                inForce = true;
                position = Math.max(position, w.position(instant - start));
                until = Math.min(until, start + w.nextStep(instant - start));
            }
            if (inForce) {
                parts.add(new Factors.Part(w, position));
            }
            until = Math.min(until, w.recurrence().next(instant));
        }
        return new Factors(List.copyOf(parts), until);
    }
}
