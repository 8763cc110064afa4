package loadbalancer.node;

import java.util.Map;
import loadbalancer.EndpointState;

/**
 * Names of the fields, and values of the endpoint state, in the discovery service's lists. Only
 * {@link EndpointListReader} uses them, to map a list to a {@link
 * loadbalancer.proxy.EndpointListUpdate}.
 */
final class DiscoveryFieldNames {
    // Fields of a list
    static final String VERSION = "version";
    static final String IS_COMPLETE = "full";
    static final String ENDPOINTS = "servers";

    // Fields of an endpoint
    static final String ID = "id";
    static final String ADDRESS = "addr";
    static final String ZONE = "zone";
    static final String MACHINE_KIND = "kind";
    static final String CELL = "cell";
    static final String STATE = "state";
    static final String CAPACITY_WEIGHT = "weight";
    static final String STARTED_AT_MILLIS = "started_ms";

    static final Map<String, EndpointState> STATES =
            Map.of(
                    "Ready",
                    EndpointState.READY,
                    "Terminating",
                    EndpointState.DRAINING,
                    "Gone",
                    EndpointState.REMOVED);

    private DiscoveryFieldNames() {}
}
