package loadbalancer;

/**
 * An endpoint as the endpoint list names it.
 *
 * @param zoneIndex index of its zone
 * @param machineKindIndex index of its kind of machine
 * @param cellIndex index of the cell that it belongs to
 * @param capacityWeight its relative capacity; {@link CapacityWeightKind} tells what it means
 * @param launchedAtMicros start of its process; 0 means long ago
 */
public record EndpointDescriptor(
        String id,
        int zoneIndex,
        int machineKindIndex,
        int cellIndex,
        EndpointState state,
        double capacityWeight,
        long launchedAtMicros) {}
