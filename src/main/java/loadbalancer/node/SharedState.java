package loadbalancer.node;

import java.util.Optional;
import loadbalancer.snapshot.InvalidStoredFileException;

/**
 * State of a balancer that its two processes keep equal while both run. Which of two states is the
 * newer one is decided by {@link #adopt} alone. Used on the event loop except for {@link #decode}.
 *
 * @param <T> the state as the other process shares it
 */
public interface SharedState<T> {
    /** Returns the name of the state, the same in every version of the program. */
    String name();

    /** Returns the maximum size of an encoded state; a larger one is not shared. */
    int maxBytes();

    /** Returns a number that differs after each change of the state. */
    long changeCount();

    /**
     * Returns whether this process has learnt anything since its start, from its source or from the
     * other process, that it did not start with.
     */
    boolean hasLearntSinceStart();

    /** Returns an encoder of the state as it is now; empty if it can't be shared at the moment. */
    Optional<Encoder> encoder();

    /**
     * Decodes a state; may be called on any thread.
     *
     * @throws InvalidStoredFileException if the content is not a valid state
     */
    T decode(byte[] content) throws InvalidStoredFileException;

    /** Puts the state of the other process in force if it is newer than this process's. */
    void adopt(T other);

    /** Encodes a copy of a state; may be called on any thread. */
    interface Encoder {
        /**
         * Returns the encoded state.
         *
         * @throws InvalidStoredFileException if it is larger than {@link SharedState#maxBytes}
         */
        byte[] encode() throws InvalidStoredFileException;
    }
}
