package loadbalancer.node.supervisor;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.analysis.WindowCounters;

/**
 * The shared state of a fleet of three. The other members publish the same as this member, but as
 * the baseline cohort.
 */
final class EchoingSharedState implements SharedState {
    final Map<String, Flag> flags = new HashMap<>();
    final Map<String, Map<String, Document>> documents = new HashMap<>();
    private final Map<String, Map<String, Counters>> countersByWindow = new HashMap<>();

    @Override
    public String self() {
        return "b0";
    }

    @Override
    public Set<String> roster() {
        return Set.of("b0", "b1", "b2");
    }

    @Override
    public boolean isEligibleVoter(String member) {
        return true;
    }

    @Override
    public boolean isPresent(String member) {
        return true;
    }

    @Override
    public void publish(long now, String topic, byte[] body) {
        Map<String, Document> all = new HashMap<>();
        roster().forEach(member -> all.put(member, new Document(topic, member, 1, 1, body)));
        documents.put(topic, all);
    }

    @Override
    public Map<String, Document> documents(long now, String topic) {
        return documents.getOrDefault(topic, Map.of());
    }

    @Override
    public long sinceLastReceivedMicros(long now, String member) {
        return 0;
    }

    @Override
    public void raiseFlag(long now, String topic, byte[] reason) {
        flags.put(topic, new Flag(topic, self(), reason));
    }

    @Override
    public Map<String, Flag> flags(String topic) {
        return flags.containsKey(topic) ? Map.of(self(), flags.get(topic)) : Map.of();
    }

    @Override
    public void publishCounters(long now, String topic, long window, long[] values) {
        Map<String, Counters> all = new HashMap<>();
        roster().forEach(
                        member -> {
                            long[] own = values.clone();
                            own[WindowCounters.COHORT] =
                                    member.equals(self())
                                            ? own[WindowCounters.COHORT]
                                            : WindowCounters.BASELINE;
                            if (own.length == WindowCounters.PROCESS_VALUES) {
                                own[WindowCounters.CPU_MICROS] = 1_000; // the actual value varies
                            }
                            all.put(member, new Counters(topic, member, window, own));
                        });
        countersByWindow.put(topic + "|" + window, all);
    }

    @Override
    public Map<String, Counters> counters(String topic, long window) {
        return countersByWindow.getOrDefault(topic + "|" + window, Map.of());
    }

    @Override
    public void addListener(Listener listener) {
        throw new UnsupportedOperationException("listeners are not supported in this test");
    }
}
