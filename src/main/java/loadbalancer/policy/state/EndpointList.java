package loadbalancer.policy.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointState;
import loadbalancer.policy.data.HashMixer;

/** The upstreams that are listed. */
public final class EndpointList {
    private final Map<String, Endpoint> byId = new LinkedHashMap<>();
    private final Map<Integer, Endpoint> byName = new HashMap<>();
    private final List<Endpoint> ready = new ArrayList<>();
    private final Set<String> drains = new HashSet<>();

    /** Those that are ready, the preferred first. */
    public List<Endpoint> all() {
        return ready;
    }

    /** Null if it is not in the list. */
    public Endpoint get(String id) {
        return byId.get(id);
    }

    /** By the number that messages have for it; null if none is meant. */
    public Endpoint named(int name) {
        return byName.get(name);
    }

    /** Whether this process is still the one in the list. */
    public boolean has(Endpoint up) {
        return byId.get(up.id) == up;
    }

    /** How many are listed and of no use any more. */
    public int draining() {
        return drains.size();
    }

    /** Forgets all but these. */
    public void keepOnly(List<EndpointDescriptor> entries) {
        byId.keySet().retainAll(entries.stream().map(EndpointDescriptor::id).toList());
        drains.clear();
    }

    /** Takes an entry of the list for this process. */
    public void put(Endpoint up, EndpointDescriptor entry) {
        byId.put(entry.id(), up);
        up.list.entry = entry;
        drains.remove(entry.id());
        if (entry.state() == EndpointState.DRAINING) {
            drains.add(entry.id());
        }
    }

    /**
     * The positions in a group whose first {@code size} upstreams include this one, but for {@code
     * self}. Each count goes no further than needed, or large groups burn CPU.
     */
    public List<Integer> sharers(Endpoint up, int size, int group, int self) {
        List<Integer> sharers = new ArrayList<>();
        for (int p = 0; p < group; p++) {
            long salt = HashMixer.mix(p + 1);
            long rank = up.rank(salt);
            int before = 0;
            for (int i = 0; i < ready.size() && before < size; i++) {
                before += ready.get(i).rank(salt) < rank ? 1 : 0;
            }
            if (before < size && p != self) {
                sharers.add(p);
            }
        }
        return sharers;
    }

    /** All entries are in: puts them in order. */
    public void settle() {
        byId.values().removeIf(u -> u.entry().state() != EndpointState.READY);
        ready.clear();
        ready.addAll(byId.values());
        ready.sort(Comparator.comparingLong(u -> u.rank));
        byName.clear();
        for (Endpoint up : ready) {
            byName.put(up.name, up);
            up.peerSync.sharers = null;
        }
    }
}
