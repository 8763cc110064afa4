package loadbalancer.schedule.window;

import java.util.Collections;
import java.util.Set;

/**
 * Which upstreams a window applies to: those that match all that is given. Immutable.
 *
 * @param kind empty for any
 * @param zone empty for any
 * @param cell {@link #ANY_CELL} for any
 * @param ids empty for any
 */
public record UpstreamSelector(String kind, String zone, int cell, Set<String> ids) {
    /** Selects upstreams of every cell, and those of none. */
    static final int ANY_CELL = -1;

    /** Whether the window applies to that upstream. */
    public boolean matches(UpstreamAttributes upstream) {
        return (kind.isEmpty() || kind.equals(upstream.kind()))
                && (zone.isEmpty() || zone.equals(upstream.zone()))
                && (cell < 0 || cell == upstream.cell())
                && (ids.isEmpty() || ids.contains(upstream.id()));
    }

    /** Whether no upstream can match both. */
    boolean isDisjointFrom(UpstreamSelector other) {
        return differ(kind, other.kind)
                || differ(zone, other.zone)
                || cell >= 0 && other.cell >= 0 && cell != other.cell
                || areDisjoint(ids, other.ids);
    }

    private static boolean differ(String one, String other) {
        return !one.isEmpty() && !other.isEmpty() && !one.equals(other);
    }

    /** Whether two selections, of which an empty one selects all, have nothing in common. */
    static boolean areDisjoint(Set<String> one, Set<String> other) {
        return !one.isEmpty() && !other.isEmpty() && Collections.disjoint(one, other);
    }
}
