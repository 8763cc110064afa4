package loadbalancer.settings;

/** An operator's file that can't be used; the message is one line with place and reason. */
public final class InvalidOperatorFileException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidOperatorFileException(String place, String reason) {
        super(place + ": " + reason);
    }
}
