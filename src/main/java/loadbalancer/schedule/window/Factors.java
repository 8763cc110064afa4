package loadbalancer.schedule.window;

import java.util.List;

/**
 * What is in force, and until when: whoever uses it compares the time handed to it with {@code
 * validUntil} at each use, and asks anew from then on. So a process that was stopped meanwhile uses
 * nothing that is over.
 *
 * @param parts lower priorities first
 * @param validUntil microseconds of the clock that it was asked by; it does not hold at that
 *     instant any more
 */
public record Factors(List<Part> parts, long validUntil) {
    /** Nothing is in force, for ever. */
    public static final Factors NEUTRAL = new Factors(List.of(), Long.MAX_VALUE);

    /**
     * A window that is in force.
     *
     * @param position how far it is in: 0 has no effect yet or any more, 1 has the whole
     */
    public record Part(Window window, double position) {}

    /** Whether no request is any different for them. */
    public boolean isNeutral() {
        return parts.stream().allMatch(p -> p.position == 0);
    }

    /**
     * The factor on that upstream's weight, 0.1 to 10. On its way in or out a window goes from what
     * holds below it to its own factor by equal ratios, so that none of them jumps where they meet.
     */
    public double of(Listed up, String cls, String tenant) {
        double log = 0;
        for (Part p : parts) {
            if (p.window.covers(up, cls, tenant)) {
                log = (1 - p.position) * log + p.position * Math.log(p.window.factor());
            }
        }
        return Math.exp(log);
    }

    /** The same with another end. */
    public Factors until(long end) {
        return new Factors(parts, end);
    }
}
