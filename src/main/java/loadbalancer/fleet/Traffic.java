package loadbalancer.fleet;

import java.util.Map;

/**
 * Figures of the fleet at one member, for STATS; counts since the start.
 *
 * @param dropped datagrams by cause, those without any left out
 * @param refused statements by the bound that they hit
 * @param unknown bodies and items of kinds that this program doesn't know
 * @param items held now, with so many bytes
 * @param contested names in which others speak, as they say themselves
 */
public record Traffic(
        long datagramsIn,
        long bytesIn,
        long datagramsOut,
        long bytesOut,
        Map<String, Long> dropped,
        Map<String, Long> refused,
        long unknown,
        int items,
        long itemBytes,
        int contested) {}
