package loadbalancer.rollout.stage;

import loadbalancer.rollout.stage.RolloutStatement.Phase;

/**
 * What this balancer runs and what it hands over to, by the keys of plans; an empty key stands for
 * what ran before any plan. Not thread-safe.
 */
final class LocalChange {
    private String runningKey;
    private String startingKey = "";
    private boolean isRollingBack;
    private boolean isServing;

    LocalChange(String runningKey) {
        this.runningKey = runningKey;
    }

    /** A hand-over to a plan's change begins. */
    void start(String planKey) {
        startingKey = planKey;
    }

    /** A hand-over to what ran before begins. */
    void rollBack() {
        isRollingBack = true;
    }

    /** The hand-over is done. */
    void onRunning(String planKey) {
        runningKey = planKey;
        startingKey = "";
        isRollingBack = false;
    }

    /** The plan's change failed and does not run. */
    void onFailed(String planKey) {
        startingKey = startingKey.equals(planKey) ? "" : startingKey;
        runningKey = runningKey.equals(planKey) ? "" : runningKey;
    }

    void setServing(boolean serves) {
        isServing = serves;
    }

    boolean isServing() {
        return isServing;
    }

    boolean isRollingBack() {
        return isRollingBack;
    }

    boolean isStarting() {
        return !startingKey.isEmpty();
    }

    boolean isStarting(String planKey) {
        return startingKey.equals(planKey);
    }

    boolean isRunning(String planKey) {
        return runningKey.equals(planKey);
    }

    /** The plan that would be rolled back; empty for none. */
    String activeKey() {
        return startingKey.isEmpty() ? runningKey : startingKey;
    }

    /** What the balancer runs with respect to a plan. */
    Phase phase(String planKey) {
        if (isStarting() || isRollingBack) {
            return Phase.CHANGING;
        }
        return isRunning(planKey) ? Phase.CANARY : Phase.BASELINE;
    }
}
