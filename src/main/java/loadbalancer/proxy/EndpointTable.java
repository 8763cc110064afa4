package loadbalancer.proxy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.EndpointState;

/** Holds the complete endpoint list and applies updates to it. Used on the event loop only. */
public final class EndpointTable {
    private final Map<String, EndpointListUpdate.Entry> entries = new LinkedHashMap<>();
    private long version;

    void apply(EndpointListUpdate update) {
        version = update.version();
        if (update.isComplete()) {
            entries.clear();
        }
        for (EndpointListUpdate.Entry entry : update.entries()) {
            if (entry.state() == EndpointState.REMOVED) {
                entries.remove(entry.id());
            } else {
                entries.put(entry.id(), entry);
            }
        }
    }

    /** Returns a copy of the current list. */
    public EndpointListUpdate list() {
        return new EndpointListUpdate(version, true, List.copyOf(entries.values()));
    }
}
