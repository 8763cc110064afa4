package loadbalancer.schedule.window;

import java.util.Collections;
import java.util.Set;

/**
 * Which upstreams a window is about: those that fit all that is named.
 *
 * @param kind empty for any
 * @param zone empty for any
 * @param cell -1 for any
 * @param ids empty for any
 */
public record Target(String kind, String zone, int cell, Set<String> ids) {
    /** Whether the window is about that upstream. */
    public boolean covers(Listed up) {
        return (kind.isEmpty() || kind.equals(up.kind()))
                && (zone.isEmpty() || zone.equals(up.zone()))
                && (cell < 0 || cell == up.cell())
                && (ids.isEmpty() || ids.contains(up.id()));
    }

    /** Whether no upstream can fit both, whatever the list says. */
    boolean isApartFrom(Target other) {
        return differ(kind, other.kind)
                || differ(zone, other.zone)
                || cell >= 0 && other.cell >= 0 && cell != other.cell
                || apart(ids, other.ids);
    }

    private static boolean differ(String a, String b) {
        return !a.isEmpty() && !b.isEmpty() && !a.equals(b);
    }

    /** Whether two selections, of which an empty one is all, have nothing in common. */
    static boolean apart(Set<String> a, Set<String> b) {
        return !a.isEmpty() && !b.isEmpty() && Collections.disjoint(a, b);
    }
}
