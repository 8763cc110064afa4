package loadbalancer.schedule.window;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One revision of the calendar, read from one file. Immutable.
 *
 * @param number revision number, at least 1 and higher after each change
 * @param effectiveFromMicros start, in microseconds of UTC; replaces the previous revision then
 * @param revokedDigests digests of the revisions that end immediately
 * @param digest digest of {@code text}, 32 hexadecimal digits
 * @param text the file's bytes, which are replicated unchanged
 */
public record CalendarRevision(
        long number,
        long effectiveFromMicros,
        List<Window> windows,
        Set<String> revokedDigests,
        String digest,
        byte[] text) {

    /** Returns a message for each class or tenant of a window that the settings do not have. */
    public List<String> unknownNames(Set<String> classes, Set<String> tenants) {
        List<String> lines = new ArrayList<>();
        for (Window window : windows) {
            addUnknown(lines, window, "class", window.classes(), classes);
            addUnknown(lines, window, "tenant", window.tenants(), tenants);
        }
        return lines;
    }

    private static void addUnknown(
            List<String> lines, Window window, String what, Set<String> named, Set<String> known) {
        Set<String> unknown = new HashSet<>(named);
        unknown.removeAll(known);
        unknown.stream()
                .sorted()
                .forEach(name -> lines.add(window.name() + ": unknown " + what + " " + name));
    }
}
