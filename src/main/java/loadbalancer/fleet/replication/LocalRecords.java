package loadbalancer.fleet.replication;

import java.util.Map;
import java.util.TreeMap;

/**
 * Records that subsystems store for this member alone, a bounded number. For the thread of {@link
 * ReplicatedStore}; knows no time.
 */
final class LocalRecords {
    private static final int MAX_RECORDS = 16;

    private final Map<String, byte[]> byKey = new TreeMap<>();
    private final DurabilityTracker durability;

    LocalRecords(DurabilityTracker durability) {
        this.durability = durability;
    }

    /** Adds records that were persisted earlier. */
    void restore(Map<String, byte[]> persisted) {
        byKey.putAll(persisted);
    }

    /** Stores a record in place of the last one; an empty one is removed. */
    void put(String key, byte[] bytes) {
        byKey.remove(key);
        if (bytes.length > 0 && byKey.size() < MAX_RECORDS) {
            byKey.put(key, bytes);
        }
        durability.recordChange();
    }

    /** A copy of the record; null if there is none. */
    byte[] get(String key) {
        byte[] bytes = byKey.get(key);
        return bytes == null ? null : bytes.clone();
    }

    /** All records by key. */
    Map<String, byte[]> snapshot() {
        return new TreeMap<>(byKey);
    }
}
