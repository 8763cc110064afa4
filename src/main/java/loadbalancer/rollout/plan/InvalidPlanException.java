package loadbalancer.rollout.plan;

/** A plan that can't be used; the message is one line with place and reason. */
public final class InvalidPlanException extends Exception {
    private static final long serialVersionUID = 1;

    /** Refuses a plan at a place of it. */
    public InvalidPlanException(String place, String reason) {
        super(place + ": " + reason);
    }
}
