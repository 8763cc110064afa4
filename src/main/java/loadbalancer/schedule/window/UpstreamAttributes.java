package loadbalancer.schedule.window;

/**
 * An upstream's attributes in discovery that a window may select by. Immutable.
 *
 * @param cell -1 if it has none
 */
public record UpstreamAttributes(String id, String zone, String kind, int cell) {}
