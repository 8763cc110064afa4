package yewyoke.settings;

/** An operator's file that can't be used; the message is one line with place and reason. */
public final class BadOperatorFile extends Exception {
    private static final long serialVersionUID = 1;

    BadOperatorFile(String place, String reason) {
        super(place + ": " + reason);
    }
}
