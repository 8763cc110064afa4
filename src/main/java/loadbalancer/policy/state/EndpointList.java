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

/** The endpoints that discovery has listed. */
public final class EndpointList {
    private final Map<String, Endpoint> endpointById = new LinkedHashMap<>();
    private final Map<Integer, Endpoint> endpointByMessageHash = new HashMap<>();
    private final List<Endpoint> ready = new ArrayList<>();
    private final Set<String> drainingIds = new HashSet<>();

    /**
     * Returns the endpoints in state READY, the most preferred first. The result is a live view.
     */
    public List<Endpoint> ready() {
        return ready;
    }

    /** Returns the endpoint with this id; null if it is not listed. */
    public Endpoint get(String id) {
        return endpointById.get(id);
    }

    /** Returns the endpoint with this hash in messages; null if there is none. */
    public Endpoint byMessageHash(int messageHash) {
        return endpointByMessageHash.get(messageHash);
    }

    /** Returns whether this process is still the one listed under its id. */
    public boolean contains(Endpoint endpoint) {
        return endpointById.get(endpoint.id()) == endpoint;
    }

    /** Returns how many listed endpoints are draining. */
    public int drainingCount() {
        return drainingIds.size();
    }

    /** Removes all endpoints that are not in a complete list. */
    public void retainOnly(List<EndpointDescriptor> entries) {
        endpointById.keySet().retainAll(entries.stream().map(EndpointDescriptor::id).toList());
        drainingIds.clear();
    }

    /**
     * Stores the entry of the list for this endpoint. {@link #update} must be called afterwards.
     */
    public void put(Endpoint endpoint, EndpointDescriptor entry) {
        endpointById.put(entry.id(), endpoint);
        endpoint.setEntry(entry);
        drainingIds.remove(entry.id());
        if (entry.state() == EndpointState.DRAINING) {
            drainingIds.add(entry.id());
        }
    }

    /**
     * Updates the list of ready endpoints after a change of the entries, or of the number or index
     * of balancers.
     */
    public void update() {
        endpointById.values().removeIf(endpoint -> endpoint.entry().state() != EndpointState.READY);
        ready.clear();
        ready.addAll(endpointById.values());
        ready.sort(Comparator.comparingLong(Endpoint::rank));
        endpointByMessageHash.clear();
        for (Endpoint endpoint : ready) {
            endpointByMessageHash.put(endpoint.messageHash(), endpoint);
            endpoint.inFlightExchange().invalidate();
        }
    }

    /**
     * Returns the indices of the other balancers whose subsets of {@code subsetSize} include this
     * endpoint. Counting stops at the subset size, because a full count is expensive in a large
     * tier.
     */
    public List<Integer> balancersUsing(
            Endpoint endpoint, int subsetSize, int balancerCount, int ownIndex) {
        List<Integer> balancers = new ArrayList<>();
        for (int balancerIndex = 0; balancerIndex < balancerCount; balancerIndex++) {
            long salt = HashMixer.mix(balancerIndex + 1);
            long rank = endpoint.rankFor(salt);
            int preferred = 0;
            for (int i = 0; i < ready.size() && preferred < subsetSize; i++) {
                preferred += ready.get(i).rankFor(salt) < rank ? 1 : 0;
            }
            if (preferred < subsetSize && balancerIndex != ownIndex) {
                balancers.add(balancerIndex);
            }
        }
        return balancers;
    }
}
