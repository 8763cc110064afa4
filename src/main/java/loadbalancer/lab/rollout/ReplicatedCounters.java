package loadbalancer.lab.rollout;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.SharedState;

/** What one member receives of a fleet: only counters, of the last windows. Not thread-safe. */
final class ReplicatedCounters implements SharedState {
    private static final int WINDOWS = 8;

    private final Set<String> roster;
    private final Map<String, Map<Long, Map<String, Counters>>> countersByTopic = new HashMap<>();

    ReplicatedCounters(Set<String> roster) {
        this.roster = roster;
    }

    void add(String topic, String member, long window, long[] values) {
        Map<Long, Map<String, Counters>> windows =
                countersByTopic.computeIfAbsent(topic, key -> new HashMap<>());
        windows.remove(window - WINDOWS);
        windows.computeIfAbsent(window, number -> new HashMap<>())
                .put(member, new Counters(topic, member, window, values));
    }

    @Override
    public String self() {
        return roster.iterator().next();
    }

    @Override
    public Set<String> roster() {
        return roster;
    }

    @Override
    public boolean isEligibleVoter(String member) {
        return roster.contains(member);
    }

    @Override
    public boolean isPresent(String member) {
        return true;
    }

    @Override
    public Map<String, Counters> counters(String topic, long window) {
        return countersByTopic.getOrDefault(topic, Map.of()).getOrDefault(window, Map.of());
    }

    @Override
    public void publish(long now, String topic, byte[] body) {
        throw new UnsupportedOperationException("the analysis only reads");
    }

    @Override
    public Map<String, Document> documents(long now, String topic) {
        return Collections.emptyMap();
    }

    @Override
    public long sinceLastReceivedMicros(long now, String member) {
        return 0;
    }

    @Override
    public void raiseFlag(long now, String topic, byte[] reason) {
        throw new UnsupportedOperationException("the analysis only reads");
    }

    @Override
    public Map<String, Flag> flags(String topic) {
        return Collections.emptyMap();
    }

    @Override
    public void publishCounters(long now, String topic, long window, long[] values) {
        add(topic, self(), window, values);
    }

    @Override
    public void addListener(Listener listener) {
        throw new UnsupportedOperationException("nothing changes by itself");
    }
}
