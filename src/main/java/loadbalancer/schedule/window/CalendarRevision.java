package loadbalancer.schedule.window;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One revision of the calendar: the content of one file. Immutable.
 *
 * @param number rises with each change; 1 or more
 * @param effectiveFromMicros microseconds of UTC from which it replaces the one before
 * @param revokedDigests of revisions that end at once
 * @param digest of {@code text}: 32 hexadecimal digits
 * @param text the file's bytes, the form in which it is replicated
 */
public record CalendarRevision(
        long number,
        long effectiveFromMicros,
        List<Window> windows,
        Set<String> revokedDigests,
        String digest,
        byte[] text) {

    /** Lines on classes and tenants that windows name but the settings don't have. */
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
                .forEach(name -> lines.add(window.name() + ": there is no " + what + " " + name));
    }
}
