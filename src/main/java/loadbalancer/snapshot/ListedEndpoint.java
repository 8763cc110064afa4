package loadbalancer.snapshot;

import loadbalancer.EndpointState;

/**
 * An endpoint of the endpoint list that a snapshot contains.
 *
 * @param address address in the form {@code host:port}
 * @param startedAtMillis Unix time in milliseconds at which the endpoint's process started; 0 if
 *     that was long ago
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
