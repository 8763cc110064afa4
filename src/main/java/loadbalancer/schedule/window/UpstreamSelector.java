package loadbalancer.schedule.window;

import java.util.Collections;
import java.util.Set;

/**
 * Selects the upstreams to which a window applies: those that match every given attribute.
 * Immutable.
 *
 * @param kind machine kind; empty for any
 * @param zone zone name; empty for any
 * @param cell deduplication scope; {@link #ANY_CELL} for any
 * @param ids upstream ids; empty for any
 */
public record UpstreamSelector(String kind, String zone, int cell, Set<String> ids) {
    /** Selects upstreams of every cell, including those without a cell. */
    static final int ANY_CELL = -1;

    /** Returns whether an upstream is selected. */
    public boolean matches(UpstreamAttributes upstream) {
        return (kind.isEmpty() || kind.equals(upstream.kind()))
                && (zone.isEmpty() || zone.equals(upstream.zone()))
                && (cell < 0 || cell == upstream.cell())
                && (ids.isEmpty() || ids.contains(upstream.id()));
    }

    /** Returns whether no upstream can match both selectors. */
    boolean isDisjointFrom(UpstreamSelector other) {
        return differ(kind, other.kind)
                || differ(zone, other.zone)
                || cell >= 0 && other.cell >= 0 && cell != other.cell
                || areDisjoint(ids, other.ids);
    }

    private static boolean differ(String one, String other) {
        return !one.isEmpty() && !other.isEmpty() && !one.equals(other);
    }

    /** Returns whether two sets have no common element, where an empty set means all elements. */
    static boolean areDisjoint(Set<String> one, Set<String> other) {
        return !one.isEmpty() && !other.isEmpty() && Collections.disjoint(one, other);
    }
}
