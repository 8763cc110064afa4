package loadbalancer.schedule.window;

/** A calendar file that can't be used; the message is one line with place and reason. */
public final class InvalidScheduleException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidScheduleException(String place, String reason) {
        super(place + ": " + reason);
    }
}
