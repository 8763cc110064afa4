package yewyoke.calendar.window;

/** A recurrence that can't be used; the message says why. */
public final class BadRule extends Exception {
    private static final long serialVersionUID = 1;

    BadRule(String reason) {
        super(reason);
    }
}
