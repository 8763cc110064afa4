package loadbalancer.schedule.window;

/** Thrown when a recurrence rule is invalid or not supported; the message gives the reason. */
public final class InvalidRecurrenceException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidRecurrenceException(String reason) {
        super(reason);
    }
}
