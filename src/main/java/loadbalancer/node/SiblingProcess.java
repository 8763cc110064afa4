package loadbalancer.node;

import java.io.Closeable;

/** A second process at the same address, as while one replaces the other; on the loop. */
public interface SiblingProcess extends Closeable {
    /** Whether the other process runs. */
    boolean isRunning();

    /** Whether the other process accepts clients and is not stopping. */
    boolean isListening();

    /** Makes known whether this process accepts clients. */
    void setListening(boolean isListening);
}
