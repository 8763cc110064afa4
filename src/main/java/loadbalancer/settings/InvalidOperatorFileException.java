package loadbalancer.settings;

/** An operator's file is invalid; the message is one line with the place and the reason. */
public final class InvalidOperatorFileException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidOperatorFileException(String place, String reason) {
        super(place + ": " + reason);
    }
}
