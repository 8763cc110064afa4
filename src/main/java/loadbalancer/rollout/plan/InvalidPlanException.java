package loadbalancer.rollout.plan;

/** Thrown when a plan is invalid; the message is one line with the place and the reason. */
public final class InvalidPlanException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception for a rejected plan.
     *
     * @param place key or line of the plan
     */
    public InvalidPlanException(String place, String reason) {
        super(place + ": " + reason);
    }
}
