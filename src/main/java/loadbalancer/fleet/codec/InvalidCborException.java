package loadbalancer.fleet.codec;

import java.io.IOException;

/** Thrown for CBOR of an unexpected form; the message is one line that names the violation. */
public final class InvalidCborException extends IOException {
    private static final long serialVersionUID = 1;

    InvalidCborException(String message) {
        super(message);
    }
}
