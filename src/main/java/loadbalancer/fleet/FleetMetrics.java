package loadbalancer.fleet;

import java.util.Map;

/**
 * Metrics of the fleet at one member; counts start at 0 when the process starts.
 *
 * @param droppedByReason number of dropped datagrams for each reason that occurred
 * @param rejectedByLimit number of rejected items for each limit that was exceeded
 * @param unknownCount number of skipped messages and items whose kind this version does not know
 * @param itemCount number of items that are currently retained
 * @param itemBytes bytes that the retained items currently occupy
 * @param impersonatedMembers number of members that currently claim to be impersonated
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
