package loadbalancer.snapshot;

import java.util.Map;
import loadbalancer.EndpointState;

/**
 * Names and values in the snapshot file. They must not change with the identifiers of the code,
 * because the program must read files that earlier versions have written.
 */
final class SnapshotFieldNames {
    /** First word of the file; contains the program's name at the time the format was defined. */
    static final String MAGIC = "yewyoke-state";

    static final String SAVED_AT_MILLIS = "saved_ms";
    static final String DISCOVERY_ADDRESS = "discovery";
    static final String LIST_VERSION = "version";
    static final String DISCOVERY_SILENCE_MILLIS = "quiet_ms";
    static final String LISTED_ENDPOINTS = "servers";
    static final String OVERALL_MEASUREMENTS = "learnt";
    static final String CLASS_MEASUREMENTS = "classes";
    static final String ENDPOINT_MEASUREMENTS = "upstreams";

    private static final String READY = "READY";
    private static final String DRAINING = "DRAINING";
    private static final String REMOVED = "GONE";
    private static final Map<String, EndpointState> STATES =
            Map.of(
                    READY,
                    EndpointState.READY,
                    DRAINING,
                    EndpointState.DRAINING,
                    REMOVED,
                    EndpointState.REMOVED);

    private SnapshotFieldNames() {}

    /** Returns the name of a state in the file. */
    static String stateName(EndpointState state) {
        return switch (state) {
            case READY -> READY;
            case DRAINING -> DRAINING;
            case REMOVED -> REMOVED;
        };
    }

    /**
     * Returns the state with this name in the file.
     *
     * @throws CorruptSnapshotException if the name is unknown
     */
    static EndpointState state(String name) throws CorruptSnapshotException {
        EndpointState state = STATES.get(name);
        if (state == null) {
            throw new CorruptSnapshotException("malformed: unknown endpoint state " + name);
        }
        return state;
    }
}
