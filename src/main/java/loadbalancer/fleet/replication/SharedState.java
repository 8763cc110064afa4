package loadbalancer.fleet.replication;

import java.util.Map;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;

/**
 * The interface of the fleet's replicated state for other subsystems, which publish this member's
 * items and read the items of all members. Each item belongs to one member, and no member changes
 * another's. Times are microseconds of a monotonic clock. All calls come from one thread.
 */
public interface SharedState {
    /** Maximum bytes of a document; one that exceeds a datagram is sent in fragments. */
    int MAX_BODY_BYTES = 16 * 1024;

    /** Maximum bytes of a flag's reason. */
    int MAX_REASON_BYTES = 256;

    /** Maximum number of values in one {@link Counters}. */
    int MAX_COUNTER_VALUES = 32;

    /** Returns this member's name. */
    String self();

    /** Returns the names that may vote, from the operator's file; the same at every member. */
    Set<String> roster();

    /** Returns whether the member is on the roster and its name is used by only one machine. */
    boolean isEligibleVoter(String member);

    /** Returns whether the member is alive or suspected; true for this member. */
    boolean isPresent(String member);

    /**
     * Publishes a document that replaces this member's last one on the topic. A document that
     * exceeds a limit is rejected and counted.
     */
    void publish(long nowMicros, String topic, byte[] body);

    /** Returns the documents on a topic by member; those with an expired lease are left out. */
    Map<String, Document> documents(long nowMicros, String topic);

    /**
     * Returns the microseconds since a new item of that member, other than a flag, was received,
     * whoever sent it.
     */
    long sinceLastReceivedMicros(long nowMicros, String member);

    /** Raises a flag permanently. */
    void raiseFlag(long nowMicros, String topic, byte[] reason);

    /** Returns the flags on a topic by the member that raised them; empty if none is raised. */
    Map<String, Flag> flags(String topic);

    /** Publishes this member's counters of a window; values below earlier ones have no effect. */
    void publishCounters(long nowMicros, String topic, long window, long[] values);

    /** Returns the counters of a window by member. */
    Map<String, Counters> counters(String topic, long window);

    /** Adds a listener, which is called by the method call that merges a changed item. */
    void addListener(Listener listener);

    /** Receives notifications of changes. */
    interface Listener {
        /** Called when another member's item is new or has changed. */
        void itemChanged(long nowMicros, Item item);
    }

    /** Returns the number of votes that make a majority of the roster. */
    default int majority() {
        return roster().size() / 2 + 1;
    }

    /**
     * Returns whether this member knows its own earlier votes, either restored at the start or
     * recovered from another member since then.
     */
    default boolean canVote() {
        return true;
    }

    /**
     * Publishes a document that must survive a crash, such as a vote. With a state folder, the
     * document is sent only after it is persisted.
     */
    default void publishDurably(long nowMicros, String topic, byte[] body) {
        publish(nowMicros, topic, body);
    }

    /**
     * Stores a record for this member alone, which survives a crash if there is a state folder. An
     * empty record removes the stored one; a record above {@link #MAX_BODY_BYTES} is rejected.
     */
    default void storeRecord(String key, byte[] bytes) {}

    /** Returns the last stored record, including one from before a restart; null if none. */
    default byte[] storedRecord(String key) {
        return null;
    }
}
