package loadbalancer.fleet.replication;

import java.util.Map;
import java.util.TreeMap;

/**
 * Stores a bounded number of records that subsystems write for this member alone. For the thread of
 * {@link ReplicatedStore}; independent of time.
 */
final class LocalRecords {
    private static final int MAX_RECORDS = 16;

    private final Map<String, byte[]> byKey = new TreeMap<>();
    private final DurabilityTracker durability;

    LocalRecords(DurabilityTracker durability) {
        this.durability = durability;
    }

    /** Adds the records that an earlier process persisted. */
    void restore(Map<String, byte[]> persisted) {
        byKey.putAll(persisted);
    }

    /** Replaces the record with that key; an empty record removes it. */
    void put(String key, byte[] bytes) {
        byKey.remove(key);
        if (bytes.length > 0 && byKey.size() < MAX_RECORDS) {
            byKey.put(key, bytes);
        }
        durability.recordChange();
    }

    /** Returns a copy of the record; null if there is none. */
    byte[] get(String key) {
        byte[] bytes = byKey.get(key);
        return bytes == null ? null : bytes.clone();
    }

    /** Returns all records by key. */
    Map<String, byte[]> snapshot() {
        return new TreeMap<>(byKey);
    }
}
