package loadbalancer.schedule.window;

/** Thrown when a calendar is invalid; the message is one line with the place and the reason. */
public final class InvalidScheduleException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidScheduleException(String place, String reason) {
        super(place + ": " + reason);
    }
}
