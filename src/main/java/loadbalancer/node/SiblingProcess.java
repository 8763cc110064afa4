package loadbalancer.node;

import java.io.Closeable;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * A second process of the same balancer at the same address, as during a hand-over. Used on the
 * event loop.
 */
public interface SiblingProcess extends Closeable {
    /** Returns whether the other process runs. */
    boolean isRunning();

    /** Returns whether the other process accepts clients and is not stopping. */
    boolean isListening();

    /** Announces to the other process whether this one accepts clients. */
    void setListening(boolean isListening);

    /**
     * Returns memory that the processes share, which stays when they end; empty if there is none.
     * Its size must be the same in each process.
     */
    default Optional<ByteBuffer> sharedMemory(int sizeBytes) {
        return Optional.empty();
    }

    /** Returns the files by which the processes share state; empty if there are none now. */
    default Optional<SiblingFiles> files() {
        return Optional.empty();
    }
}
