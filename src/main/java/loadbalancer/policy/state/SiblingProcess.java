package loadbalancer.policy.state;

/**
 * Tracks whether a second process of this balancer serves at the same time, as during a hand-over.
 */
public final class SiblingProcess {
    private boolean isServing;

    /** Returns whether the sibling process serves requests. */
    public boolean isServing() {
        return isServing;
    }

    /** Records whether the sibling process serves requests. */
    public void setServing(boolean serving) {
        isServing = serving;
    }
}
