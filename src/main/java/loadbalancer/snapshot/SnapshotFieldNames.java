package loadbalancer.snapshot;

import java.util.Map;
import loadbalancer.EndpointState;

/**
 * Words of the snapshot file. They are part of stored data: a program must read the files that
 * earlier versions have written, so they keep their text whatever the code calls these things.
 */
final class SnapshotFieldNames {
    /** First word of the file; has the name that the program had when the format was made. */
    static final String MAGIC = "yewyoke-state";

    static final String SAVED_AT_MILLIS = "saved_ms";
    static final String DISCOVERY_ADDRESS = "discovery";
    static final String LIST_VERSION = "version";
    static final String DISCOVERY_SILENCE_MILLIS = "quiet_ms";
    static final String LISTED_ENDPOINTS = "servers";
    static final String LEARNT_OVERALL = "learnt";
    static final String LEARNT_OF_CLASSES = "classes";
    static final String LEARNT_OF_ENDPOINTS = "upstreams";

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

    /** Returns the word for a state. */
    static String stateName(EndpointState state) {
        return switch (state) {
            case READY -> READY;
            case DRAINING -> DRAINING;
            case REMOVED -> REMOVED;
        };
    }

    /**
     * Returns the state that a word stands for.
     *
     * @throws CorruptSnapshotException if it stands for none
     */
    static EndpointState state(String name) throws CorruptSnapshotException {
        EndpointState state = STATES.get(name);
        if (state == null) {
            throw new CorruptSnapshotException("not understood: unknown state " + name);
        }
        return state;
    }
}
