package loadbalancer.node.supervisor;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.Item.Tally;
import loadbalancer.fleet.replication.Shared;
import loadbalancer.rollout.analysis.WindowCounters;

/**
 * A fleet of three in which the others say and count what this member does, but keep the old
 * program.
 */
final class Echo implements Shared {
    final Map<String, Flag> flags = new HashMap<>();
    final Map<String, Map<String, Document>> documents = new HashMap<>();
    private final Map<String, Map<String, Tally>> tallies = new HashMap<>();

    @Override
    public String self() {
        return "b0";
    }

    @Override
    public Set<String> roster() {
        return Set.of("b0", "b1", "b2");
    }

    @Override
    public boolean counts(String member) {
        return true;
    }

    @Override
    public boolean alive(String member) {
        return true;
    }

    @Override
    public void say(long now, String topic, byte[] body) {
        Map<String, Document> all = new HashMap<>();
        roster().forEach(n -> all.put(n, new Document(topic, n, 1, 1, body)));
        documents.put(topic, all);
    }

    @Override
    public Map<String, Document> said(long now, String topic) {
        return documents.getOrDefault(topic, Map.of());
    }

    @Override
    public long age(long now, String member) {
        return 0;
    }

    @Override
    public void raise(long now, String topic, byte[] reason) {
        flags.put(topic, new Flag(topic, self(), reason));
    }

    @Override
    public Map<String, Flag> raised(String topic) {
        return flags.containsKey(topic) ? Map.of(self(), flags.get(topic)) : Map.of();
    }

    @Override
    public void count(long now, String topic, long window, long[] values) {
        Map<String, Tally> all = new HashMap<>();
        roster().forEach(
                        n -> {
                            long[] own = values.clone();
                            own[0] = n.equals(self()) ? own[0] : WindowCounters.BASELINE;
                            if (own.length == WindowCounters.PROCESS_VALUES) {
                                own[WindowCounters.CPU_MICROS] =
                                        1_000; // the real one hangs on the machine's mood
                            }
                            all.put(n, new Tally(topic, n, window, own));
                        });
        tallies.put(topic + "|" + window, all);
    }

    @Override
    public Map<String, Tally> counted(String topic, long window) {
        return tallies.getOrDefault(topic + "|" + window, Map.of());
    }

    @Override
    public void listen(Listener listener) {
        throw new UnsupportedOperationException("nobody listens here");
    }
}
