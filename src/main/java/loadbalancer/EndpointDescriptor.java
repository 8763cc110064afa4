package loadbalancer;

/**
 * An entry of the endpoint list.
 *
 * @param zoneIndex index of the endpoint's zone
 * @param machineKindIndex index of the endpoint's kind of machine
 * @param cellIndex index of the cell that the endpoint belongs to
 * @param capacityWeight relative capacity of the endpoint; {@link CapacityWeightKind} defines its
 *     meaning
 * @param launchedAtMicros start time of the endpoint's process; 0 stands for long ago
 */
public record EndpointDescriptor(
        String id,
        int zoneIndex,
        int machineKindIndex,
        int cellIndex,
        EndpointState state,
        double capacityWeight,
        long launchedAtMicros) {}
