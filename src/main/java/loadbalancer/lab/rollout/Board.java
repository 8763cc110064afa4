package loadbalancer.lab.rollout;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.Item.Tally;
import loadbalancer.fleet.replication.Shared;

/** What one member sees of a fleet that talks well: only tallies, of the last windows. */
final class Board implements Shared {
    private static final int KEPT = 8;

    private final Set<String> roster;
    private final Map<String, Map<Long, Map<String, Tally>>> tallies = new HashMap<>();

    Board(Set<String> roster) {
        this.roster = roster;
    }

    void tally(String topic, String member, long window, long[] values) {
        Map<Long, Map<String, Tally>> windows =
                tallies.computeIfAbsent(topic, t -> new HashMap<>());
        windows.remove(window - KEPT);
        windows.computeIfAbsent(window, w -> new HashMap<>())
                .put(member, new Tally(topic, member, window, values));
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
    public boolean counts(String member) {
        return roster.contains(member);
    }

    @Override
    public boolean alive(String member) {
        return true;
    }

    @Override
    public Map<String, Tally> counted(String topic, long window) {
        return tallies.getOrDefault(topic, Map.of()).getOrDefault(window, Map.of());
    }

    @Override
    public void say(long now, String topic, byte[] body) {
        throw new UnsupportedOperationException("the analysis only reads");
    }

    @Override
    public Map<String, Document> said(long now, String topic) {
        return Collections.emptyMap();
    }

    @Override
    public long age(long now, String member) {
        return 0;
    }

    @Override
    public void raise(long now, String topic, byte[] reason) {
        throw new UnsupportedOperationException("the analysis only reads");
    }

    @Override
    public Map<String, Flag> raised(String topic) {
        return Collections.emptyMap();
    }

    @Override
    public void count(long now, String topic, long window, long[] values) {
        tally(topic, self(), window, values);
    }

    @Override
    public void listen(Listener listener) {
        throw new UnsupportedOperationException("nothing changes by itself");
    }
}
