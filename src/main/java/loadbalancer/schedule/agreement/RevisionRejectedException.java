package loadbalancer.schedule.agreement;

/** A revision of this member's own file that is not voted for; the message says why. */
public final class RevisionRejectedException extends Exception {
    private static final long serialVersionUID = 1;

    RevisionRejectedException(String reason) {
        super(reason);
    }
}
