package loadbalancer.node.supervisor;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown if the saved state is invalid; the message says how to recover. */
final class InvalidStateException extends IOException {
    private static final long serialVersionUID = 1;

    InvalidStateException(Path file, Variant initial, Throwable cause) {
        super(file + " is not a valid state file; remove it to start with " + initial, cause);
    }
}
