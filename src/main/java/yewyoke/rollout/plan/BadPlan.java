package yewyoke.rollout.plan;

/** A plan that can't be used; the message is one line with place and reason. */
public final class BadPlan extends Exception {
    private static final long serialVersionUID = 1;

    /** Refuses a plan at a place of it. */
    public BadPlan(String place, String reason) {
        super(place + ": " + reason);
    }
}
