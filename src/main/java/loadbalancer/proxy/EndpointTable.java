package loadbalancer.proxy;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.EndpointState;

/** Holds the complete endpoint list and applies updates to it. Used on the event loop only. */
public final class EndpointTable {
    private final Map<String, EndpointListUpdate.Entry> entries = new LinkedHashMap<>();
    private long version;
    private long changeCount;

    /**
     * Returns the update without endpoints whose address belongs to another one, which it removes:
     * discovery may list a new process before it learns that the old one has gone. Of two endpoints
     * with one address, the process that started later has it. If both started at the same time, it
     * is the one of a change; a complete list does not tell.
     */
    EndpointListUpdate withoutReplaced(EndpointListUpdate update) {
        Map<InetSocketAddress, EndpointListUpdate.Entry> owners = new HashMap<>();
        if (!update.isComplete()) {
            entries.values().forEach(entry -> owners.put(entry.address(), entry));
        }
        Map<String, EndpointListUpdate.Entry> remaining = new LinkedHashMap<>();
        for (EndpointListUpdate.Entry entry : update.entries()) {
            EndpointListUpdate.Entry owner = owners.get(entry.address());
            remaining.put(entry.id(), entry);
            if (entry.state() == EndpointState.REMOVED) {
                continue;
            }
            if (owner == null || owner.id().equals(entry.id())) {
                owners.put(entry.address(), entry);
            } else if (isReplaced(owner, entry, update.isComplete())) {
                remaining.put(owner.id(), owner.removed());
                owners.put(entry.address(), entry);
            } else if (isReplaced(entry, owner, true)) {
                remaining.put(entry.id(), entry.removed());
            }
        }
        return new EndpointListUpdate(
                update.version(), update.isComplete(), List.copyOf(remaining.values()));
    }

    private static boolean isReplaced(
            EndpointListUpdate.Entry owner, EndpointListUpdate.Entry next, boolean mustBeLater) {
        return mustBeLater
                ? next.startedAtMillis() > owner.startedAtMillis()
                : next.startedAtMillis() >= owner.startedAtMillis();
    }

    void apply(EndpointListUpdate update) {
        changeCount++;
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

    /** Returns whether no endpoint is listed. */
    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns the number of updates so far. */
    public long changeCount() {
        return changeCount;
    }

    /** Returns a copy of the current list. */
    public EndpointListUpdate list() {
        return new EndpointListUpdate(version, true, List.copyOf(entries.values()));
    }
}
