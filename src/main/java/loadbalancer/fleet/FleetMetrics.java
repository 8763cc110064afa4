package loadbalancer.fleet;

import java.util.Map;

/**
 * Metrics of the fleet at one member; counts are since the start.
 *
 * @param droppedByReason datagrams; reasons without any are left out
 * @param rejectedByLimit items by the limit that they exceeded
 * @param unknownCount messages and items of kinds that are unknown here
 * @param itemCount retained now
 * @param itemBytes retained now
 * @param impersonatedMembers members that claim to be impersonated now
 */
public record FleetMetrics(
        long datagramsReceived,
        long bytesReceived,
        long datagramsSent,
        long bytesSent,
        Map<String, Long> droppedByReason,
        Map<String, Long> rejectedByLimit,
        long unknownCount,
        int itemCount,
        long itemBytes,
        int impersonatedMembers) {}
