package loadbalancer.control.model;

/**
 * Thrown when a change, resource or message is invalid. The exception's message is one line with
 * place and reason.
 */
public final class InvalidChangeException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String place;
    private final String reason;

    /**
     * Creates the exception; its message is {@code place: reason}.
     *
     * @param place the resource or field, in one line
     * @param reason why it is invalid, in one line
     */
    public InvalidChangeException(String place, String reason) {
        super(place + ": " + reason);
        this.place = place;
        this.reason = reason;
    }

    /** Returns the resource or field that is invalid. */
    public String place() {
        return place;
    }

    /** Returns why the resource or field is invalid. */
    public String reason() {
        return reason;
    }
}
