package loadbalancer.schedule.agreement;

/** Thrown when a revision of this member's own file is rejected; the message says why. */
public final class RevisionRejectedException extends Exception {
    private static final long serialVersionUID = 1;

    RevisionRejectedException(String reason) {
        super(reason);
    }
}
