package loadbalancer.control.store;

/** The payload of a log record is not one that this version writes. */
final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedRecordException(String message) {
        super(message);
    }

    MalformedRecordException(Throwable cause) {
        super(cause);
    }
}
