package loadbalancer.control.store;

/** Thrown when the payload of a log record is malformed or unknown to this version. */
final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedRecordException(String message) {
        super(message);
    }

    MalformedRecordException(Throwable cause) {
        super(cause);
    }
}
