package loadbalancer.capacity;

/** A page or formula that can't be recomputed; the message says what and why. */
public final class BadPage extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** With the reason. */
    public BadPage(String reason) {
        super(reason);
    }
}
