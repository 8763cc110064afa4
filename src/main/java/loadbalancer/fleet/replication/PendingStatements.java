package loadbalancer.fleet.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.fleet.replication.Item.Document;

/**
 * What this member wants to have said, and when it may: not before it knows what it said in an
 * earlier life, no pledge before it is written down, and nothing in a generation that a crash could
 * make it use again.
 */
final class PendingStatements {
    private record Unsaid(byte[] body, long mark) {}

    /** A few for each part of the product; 256 KB at most. */
    private static final int MOST_NOTES = 16;

    private final Map<String, Unsaid> unsaid = new LinkedHashMap<>();
    private final Map<String, Document> recalled = new TreeMap<>();
    private final Map<String, byte[]> pledges = new TreeMap<>();
    private final Map<String, byte[]> notes = new TreeMap<>();
    private final boolean lasting;
    private long generation;
    private boolean asked;

    /**
     * Of the last change that is to be written down, of the one that is, and of the generation's.
     */
    private long mark;

    private long kept;
    private long generationMark;

    PendingStatements(long generation, boolean lasting, boolean asked) {
        this.lasting = lasting;
        this.asked = asked;
        enter(generation);
    }

    long generation() {
        return generation;
    }

    boolean asked() {
        return asked;
    }

    long mark() {
        return mark;
    }

    Map<String, byte[]> pledges() {
        return pledges;
    }

    Map<String, byte[]> notes() {
        return notes;
    }

    /** From here on it speaks in that one. */
    void enter(long next) {
        generation = Math.min(next, Item.MOST_VERSION);
        generationMark = ++mark;
    }

    /** Something else is to be written down. */
    void changed() {
        mark++;
    }

    void note(String key, byte[] bytes) {
        notes.remove(key);
        if (bytes.length > 0 && notes.size() < MOST_NOTES) {
            notes.put(key, bytes);
        }
        changed();
    }

    void kept(long upTo) {
        kept = Math.max(kept, upTo);
    }

    boolean speaks() {
        return asked && isKept(generationMark);
    }

    private boolean isKept(long upTo) {
        return !lasting || kept >= upTo;
    }

    void say(String topic, byte[] body) {
        if (pledges.remove(topic) != null) {
            changed();
        }
        unsaid.put(topic, new Unsaid(body, 0));
    }

    void pledge(String topic, byte[] body) {
        pledges.put(topic, body);
        changed();
        unsaid.put(topic, new Unsaid(body, mark));
    }

    /** To be said once more as it was, unless there is something newer. */
    void again(String topic, byte[] body) {
        unsaid.putIfAbsent(topic, new Unsaid(body, 0));
    }

    /** What others tell that this member said in an earlier life. */
    void recall(Document d) {
        if (d.incarnation() >= generation) {
            enter(d.incarnation() + 1);
        }
        Document old = recalled.get(d.topic());
        if (old == null || Merge.later(d, old)) {
            recalled.put(d.topic(), d);
        }
    }

    /** Has asked enough. */
    void hasAsked() {
        asked = true;
        recalled.values()
                .forEach(
                        d -> {
                            if (!unsaid.containsKey(d.topic())) {
                                pledge(d.topic(), d.body());
                            }
                        });
        recalled.clear();
    }

    int topics() {
        return unsaid.size();
    }

    int unsaidBytes() {
        return unsaid.values().stream().mapToInt(u -> u.body.length).sum();
    }

    /** The topics that may be stated now, with their bodies; they are taken out. */
    List<Map.Entry<String, byte[]>> due() {
        List<Map.Entry<String, byte[]>> due = new ArrayList<>();
        if (speaks()) {
            unsaid.entrySet()
                    .removeIf(
                            e -> {
                                boolean ripe = isKept(e.getValue().mark);
                                if (ripe) {
                                    due.add(Map.entry(e.getKey(), e.getValue().body));
                                }
                                return ripe;
                            });
        }
        return due;
    }
}
