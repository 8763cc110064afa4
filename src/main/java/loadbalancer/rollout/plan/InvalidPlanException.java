package loadbalancer.rollout.plan;

/** A plan that can't be used; the message is one line with place and reason. */
public final class InvalidPlanException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Rejects a plan.
     *
     * @param place the key or line of the plan
     */
    public InvalidPlanException(String place, String reason) {
        super(place + ": " + reason);
    }
}
