package loadbalancer.proxy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.EndpointState;

/** The whole list of upstreams as it stands after all lists and changes of it. */
public final class EndpointTable {
    private final Map<String, EndpointListUpdate.Entry> entries = new LinkedHashMap<>();
    private long version;

    void apply(EndpointListUpdate list) {
        version = list.version();
        if (list.full()) {
            entries.clear();
        }
        for (EndpointListUpdate.Entry e : list.entries()) {
            if (e.state() == EndpointState.REMOVED) {
                entries.remove(e.id());
            } else {
                entries.put(e.id(), e);
            }
        }
    }

    /** As of now. */
    public EndpointListUpdate list() {
        return new EndpointListUpdate(version, true, List.copyOf(entries.values()));
    }
}
