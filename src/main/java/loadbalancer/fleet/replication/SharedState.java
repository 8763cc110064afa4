package loadbalancer.fleet.replication;

import java.util.Map;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;

/**
 * The fleet's replicated state as the other subsystems see it: they publish this member's items and
 * read those of all members. Each item belongs to its member, and no member changes another's.
 * Times are microseconds of a monotonic clock. All calls come from one thread.
 */
public interface SharedState {
    /** Bytes of a document at most. One that exceeds a datagram is sent in fragments. */
    int MAX_BODY_BYTES = 16 * 1024;

    /** Bytes of a flag's reason at most. */
    int MAX_REASON_BYTES = 256;

    /** Values of an item of counters at most. */
    int MAX_COUNTER_VALUES = 32;

    /** This member's name. */
    String self();

    /** The names that may vote, from the operator's file; the same at every member. */
    Set<String> roster();

    /** Whether the member may vote: it is on the roster, and its name is used by one machine. */
    boolean isEligibleVoter(String member);

    /** Whether the member is alive or suspected. */
    boolean isPresent(String member);

    /**
     * Publishes a document in place of this member's last one on the topic. Rejected, and counted,
     * if it exceeds a limit.
     */
    void publish(long nowMicros, String topic, byte[] body);

    /** The documents on a topic by member, of those whose lease has not expired. */
    Map<String, Document> documents(long nowMicros, String topic);

    /** Time since that member was last heard, directly or through others, in microseconds. */
    long sinceHeardMicros(long nowMicros, String member);

    /** Raises a flag for ever. */
    void raiseFlag(long nowMicros, String topic, byte[] reason);

    /** The flags on a topic by the member that raised them; empty if nobody did. */
    Map<String, Flag> flags(String topic);

    /** Publishes this member's counters of a window; no value may be lower than before. */
    void publishCounters(long nowMicros, String topic, long window, long[] values);

    /** The counters of a window by member. */
    Map<String, Counters> counters(String topic, long window);

    /** Adds a listener, which is called within the event that changed an item. */
    void addListener(Listener listener);

    /** Is notified of changes. */
    interface Listener {
        /** Another member's item is new or has changed. */
        void itemChanged(long nowMicros, Item item);
    }

    /** More than half of the roster. */
    default int majority() {
        return roster().size() / 2 + 1;
    }

    /**
     * Whether this member knows its own earlier votes: it restored them at its start, or has since
     * synchronized with another member.
     */
    default boolean canVote() {
        return true;
    }

    /**
     * Publishes a document that must survive a crash, such as a vote. With a state folder it is
     * sent only once it is persisted.
     */
    default void publishDurably(long nowMicros, String topic, byte[] body) {
        publish(nowMicros, topic, body);
    }

    /**
     * Stores a record for this member alone, which survives a crash if there is a state folder. An
     * empty one is removed; one above {@link #MAX_BODY_BYTES} is rejected.
     */
    default void storeRecord(String key, byte[] bytes) {}

    /** The record that was stored last, also before a restart; null if there is none. */
    default byte[] storedRecord(String key) {
        return null;
    }
}
