package loadbalancer.node;

import java.util.Map;
import loadbalancer.EndpointState;

/**
 * Field names and values of the discovery service's lists. {@link EndpointListReader} maps them to
 * the terms of {@link loadbalancer.proxy.EndpointListUpdate}; no other class knows them.
 */
final class DiscoveryFieldNames {
    // Of a list
    static final String VERSION = "version";
    static final String IS_COMPLETE = "full";
    static final String ENDPOINTS = "servers";

    // Of an endpoint
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
