package loadbalancer.logging;

/**
 * Decides which failures of a repeated action are logged: the first one, and the first one after
 * each success. Not thread-safe; for the thread that repeats the action.
 */
public final class FailureLogFilter {
    private boolean hasFailed;

    /** Records a failure and returns whether to log it. */
    public boolean shouldLogFailure() {
        boolean isFirst = !hasFailed;
        hasFailed = true;
        return isFirst;
    }

    /** Records a success, after which the next failure is logged. */
    public void recordSuccess() {
        hasFailed = false;
    }
}
