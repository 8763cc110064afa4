package loadbalancer.control.store;

import java.io.IOException;

/** Thrown when the store accepts no changes until it is reopened; the message has the reason. */
public final class StoreUnavailableException extends IOException {
    private static final long serialVersionUID = 1L;

    StoreUnavailableException(String reason) {
        super("the store accepts no changes: " + reason);
    }
}
