package loadbalancer.proxy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.EndpointState;

/** The complete endpoint list, as it stands after all updates. Used on the event loop only. */
public final class EndpointTable {
    private final Map<String, EndpointListUpdate.Entry> entries = new LinkedHashMap<>();
    private long version;

    void apply(EndpointListUpdate list) {
        version = list.version();
        if (list.isComplete()) {
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

    /** The list as of now. */
    public EndpointListUpdate list() {
        return new EndpointListUpdate(version, true, List.copyOf(entries.values()));
    }
}
