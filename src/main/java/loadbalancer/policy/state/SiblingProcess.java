package loadbalancer.policy.state;

/** Whether a second process of this balancer serves at the same time, as during a hand-over. */
public final class SiblingProcess {
    private boolean isServing;

    /** Whether it serves. */
    public boolean isServing() {
        return isServing;
    }

    /** Records whether it serves. */
    public void setServing(boolean serving) {
        isServing = serving;
    }
}
