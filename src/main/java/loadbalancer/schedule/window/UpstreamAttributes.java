package loadbalancer.schedule.window;

/**
 * Attributes of an upstream from discovery by which a window can select it. Immutable.
 *
 * @param cell deduplication scope; -1 if the upstream has none
 */
public record UpstreamAttributes(String id, String zone, String kind, int cell) {}
