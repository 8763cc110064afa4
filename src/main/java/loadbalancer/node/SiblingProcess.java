package loadbalancer.node;

import java.io.Closeable;

/** Tells whether a second process serves at the same address, as while one replaces the other. */
public interface SiblingProcess extends Closeable {
    /** Whether the other one lives. */
    boolean lives();

    /** Whether the other one lets clients in, and is not about to end. */
    boolean listens();

    /** Makes known whether this one does. */
    void listening(boolean does);
}
