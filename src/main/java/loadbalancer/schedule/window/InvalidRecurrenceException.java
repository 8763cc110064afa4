package loadbalancer.schedule.window;

/** A recurrence rule that can't be used; the message says why. */
public final class InvalidRecurrenceException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidRecurrenceException(String reason) {
        super(reason);
    }
}
