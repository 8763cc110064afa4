package loadbalancer.fleet.codec;

import java.io.IOException;

/** CBOR that is not of the expected form; the message is one line that says what was found. */
public final class InvalidCborException extends IOException {
    private static final long serialVersionUID = 1;

    InvalidCborException(String message) {
        super(message);
    }
}
