package loadbalancer.control.store;

import java.io.IOException;

/** The store accepts no more changes until it is opened anew; the message says why in one line. */
public final class StoreUnavailableException extends IOException {
    private static final long serialVersionUID = 1L;

    StoreUnavailableException(String reason) {
        super("no changes are taken: " + reason);
    }
}
