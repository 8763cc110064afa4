package loadbalancer.lab.rollout;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.SharedState;

/** What one member sees of a fleet that talks well: only tallies, of the last windows. */
final class Board implements SharedState {
    private static final int KEPT = 8;

    private final Set<String> roster;
    private final Map<String, Map<Long, Map<String, Counters>>> tallies = new HashMap<>();

    Board(Set<String> roster) {
        this.roster = roster;
    }

    void tally(String topic, String member, long window, long[] values) {
        Map<Long, Map<String, Counters>> windows =
                tallies.computeIfAbsent(topic, t -> new HashMap<>());
        windows.remove(window - KEPT);
        windows.computeIfAbsent(window, w -> new HashMap<>())
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
    public boolean isAlive(String member) {
        return true;
    }

    @Override
    public Map<String, Counters> counters(String topic, long window) {
        return tallies.getOrDefault(topic, Map.of()).getOrDefault(window, Map.of());
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
    public long sinceHeardMicros(long now, String member) {
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
        tally(topic, self(), window, values);
    }

    @Override
    public void addListener(Listener listener) {
        throw new UnsupportedOperationException("nothing changes by itself");
    }
}
