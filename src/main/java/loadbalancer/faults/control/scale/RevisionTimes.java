package loadbalancer.faults.control.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * When each revision came in force at the subscribers of a process, by the numbers of the
 * revisions.
 */
final class RevisionTimes {
    private final TreeMap<Long, Entry> entries = new TreeMap<>();

    /** Of one revision. */
    private static final class Entry {
        private int subscribers;
        private long lastMicros;
    }

    /**
     * At how many subscribers a revision came in force as an update of what they held, and when at
     * the last.
     *
     * @param number of the revision
     * @param subscribers at which it came in force
     * @param lastMicros when it did at the last of them
     */
    public record RevisionTime(long number, int subscribers, long lastMicros) {}

    /** A subscriber went from one revision to another; all between them came in force, too. */
    synchronized void inForce(long fromNumber, long toNumber, long nowMicros) {
        for (long number = fromNumber + 1; number <= toNumber; number++) {
            Entry entry = entries.computeIfAbsent(number, any -> new Entry());
            entry.subscribers++;
            entry.lastMicros = Math.max(entry.lastMicros, nowMicros);
        }
    }

    /** All that was noted, by the numbers. */
    synchronized List<RevisionTime> list() {
        List<RevisionTime> list = new ArrayList<>();
        entries.forEach(
                (number, entry) ->
                        list.add(new RevisionTime(number, entry.subscribers, entry.lastMicros)));
        return list;
    }

    /** Forgets all. */
    synchronized void reset() {
        entries.clear();
    }
}
