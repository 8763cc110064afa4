package loadbalancer.schedule.window;

/**
 * An upstream by what a target may name, as discovery lists it.
 *
 * @param cell -1 if it has none
 */
public record Listed(String id, String zone, String kind, int cell) {}
