package loadbalancer.logging;

/**
 * Decides which failures of a repeated action are logged: the first one, and after a success the
 * next one. Confined to the thread that repeats the action; it holds nothing to release.
 */
public final class FailureLogFilter {
    private boolean hasFailed;

    /** Records a failure; whether it is to be logged. */
    public boolean shouldLogFailure() {
        boolean isFirst = !hasFailed;
        hasFailed = true;
        return isFirst;
    }

    /** Records a success; the next failure is to be logged. */
    public void recordSuccess() {
        hasFailed = false;
    }
}
