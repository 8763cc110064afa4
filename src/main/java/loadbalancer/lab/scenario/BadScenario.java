package loadbalancer.lab.scenario;

/**
 * A file that can't be used; the message is one line with the file, the key and what was expected.
 */
public final class BadScenario extends Exception {
    private static final long serialVersionUID = 1;

    /** {@code place}: file and key; {@code expected}: what would have been right. */
    public BadScenario(String place, String expected) {
        super(place + ": " + expected);
    }
}
