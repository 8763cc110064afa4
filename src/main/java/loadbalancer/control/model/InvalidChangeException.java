package loadbalancer.control.model;

/** A change, resource or message is invalid; the message is one line with place and reason. */
public final class InvalidChangeException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String place;
    private final String reason;

    /**
     * An invalid change, resource or message.
     *
     * @param place the resource or field, in one line
     * @param reason what is wrong with it, in one line
     */
    public InvalidChangeException(String place, String reason) {
        super(place + ": " + reason);
        this.place = place;
        this.reason = reason;
    }

    /** The resource or field. */
    public String place() {
        return place;
    }

    /** What is wrong with it. */
    public String reason() {
        return reason;
    }
}
