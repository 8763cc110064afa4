package loadbalancer.snapshot;

import loadbalancer.EndpointState;

/**
 * An endpoint of the endpoint list in a snapshot.
 *
 * @param address as {@code host:port}
 * @param startedAtMillis Unix time of the start of its process; 0 means long ago
 */
public record ListedEndpoint(
        String id,
        String address,
        String zone,
        String machineKind,
        int cellIndex,
        EndpointState state,
        double capacityWeight,
        long startedAtMillis) {}
