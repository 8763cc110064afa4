package loadbalancer.schedule.window;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A whole calendar, as one file has it.
 *
 * @param number rises with each change; 1 or more
 * @param from the instant, microseconds of UTC, from which it stands in place of the one before
 * @param revokes digests of revisions that are to end at once
 * @param digest of {@code text}: 32 hexadecimal digits
 * @param text the file's bytes, the form in which it is shared
 */
public record Revision(
        long number,
        long from,
        List<Window> windows,
        Set<String> revokes,
        String digest,
        byte[] text) {

    /**
     * Classes and tenants that windows name and the settings don't have: mostly slips of the pen.
     */
    public List<String> unknown(Set<String> classes, Set<String> tenants) {
        List<String> lines = new ArrayList<>();
        for (Window w : windows) {
            Set<String> strange = new HashSet<>(w.classes());
            strange.removeAll(classes);
            strange.stream()
                    .sorted()
                    .forEach(c -> lines.add(w.name() + ": there is no class " + c));
            strange = new HashSet<>(w.tenants());
            strange.removeAll(tenants);
            strange.stream()
                    .sorted()
                    .forEach(t -> lines.add(w.name() + ": there is no tenant " + t));
        }
        return lines;
    }
}
