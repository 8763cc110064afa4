package loadbalancer.node.supervisor;

import java.io.IOException;
import java.nio.file.Path;

/** The saved state can't be understood; the message says what to do. */
final class InvalidStateException extends IOException {
    private static final long serialVersionUID = 1;

    InvalidStateException(Path file, Variant initial, Throwable cause) {
        super(file + " is not understood; remove it to begin with " + initial, cause);
    }
}
