package loadbalancer.fleet.replication;

import java.util.Map;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.Item.Tally;

/**
 * What the parts of the product see of the fleet: their own statements go out, those of others can
 * be read. Times are microseconds of a clock that only advances. Each statement names its member,
 * and none changes another's. All calls come from one thread.
 */
public interface Shared {
    /**
     * Bytes of a document at most. One longer than a datagram travels in parts and counts when
     * whole.
     */
    int LONGEST_BODY = 16 * 1024;

    /** Bytes of a flag's reason at most. */
    int LONGEST_REASON = 256;

    /** Values of a tally at most. */
    int MOST_VALUES = 32;

    /** This member's name. */
    String self();

    /** The names that may vote, as the operator's file lists them; the same at every member. */
    Set<String> roster();

    /** Whether that member's word counts in votes: on the roster and used by one machine only. */
    boolean counts(String member);

    /** Whether the member is held to be alive; one that is suspected still is. */
    boolean alive(String member);

    /**
     * States a document in place of this member's last one on the topic. Refused if it is too long.
     */
    void say(long now, String topic, byte[] body);

    /** What each member says on the topic, of those whose word has not aged out. */
    Map<String, Document> said(long now, String topic);

    /** How long ago a statement of that member was last heard anew, directly or through others. */
    long age(long now, String member);

    /** Raises a flag; for ever. */
    void raise(long now, String topic, byte[] reason);

    /** Who raised it, empty as long as nobody did. */
    Map<String, Flag> raised(String topic);

    /** States this member's counts of a window; none may be lower than stated before. */
    void count(long now, String topic, long window, long[] values);

    /** What each member counted in a window. */
    Map<String, Tally> counted(String topic, long window);

    /**
     * Calls back, within the event that brought it, whenever something of another member has
     * changed.
     */
    void listen(Listener listener);

    /** Told of a change on a topic. */
    interface Listener {
        /** A statement of another member is new. */
        void changed(long now, Item item);
    }

    /** More than half of the roster. */
    default int majority() {
        return roster().size() / 2 + 1;
    }

    /**
     * Whether this member knows enough of what it and others said to vote: it has kept it over its
     * start, or has asked another for it since.
     */
    default boolean mayVote() {
        return true;
    }

    /**
     * States a document that must outlive a crash: a vote, a revision held. Where a folder is set,
     * others are told of it only once it is written down.
     */
    default void pledge(long now, String topic, byte[] body) {
        say(now, topic, body);
    }

    /**
     * Keeps something for this member alone over a crash, where a folder is set; an empty one is
     * forgotten. Refused above {@link #LONGEST_BODY} bytes.
     */
    default void note(String key, byte[] bytes) {}

    /** What was noted last, also before a restart; null if nothing is known. */
    default byte[] noted(String key) {
        return null;
    }
}
