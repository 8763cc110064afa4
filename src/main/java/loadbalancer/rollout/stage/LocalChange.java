package loadbalancer.rollout.stage;

import loadbalancer.rollout.stage.RolloutStatement.Phase;

/**
 * Tracks the plan whose change this balancer runs and the plan that it is handing over to. An empty
 * plan key means the program from before any plan. Not thread-safe.
 */
final class LocalChange {
    private String runningKey;
    private String startingKey = "";
    private boolean isRollingBack;
    private boolean isServing;

    LocalChange(String runningKey) {
        this.runningKey = runningKey;
    }

    /** Records that a hand-over to a plan's change begins. */
    void start(String planKey) {
        startingKey = planKey;
    }

    /** Records that a hand-over to the previous program begins. */
    void rollBack() {
        isRollingBack = true;
    }

    /** Records that the hand-over is complete. */
    void onRunning(String planKey) {
        runningKey = planKey;
        startingKey = "";
        isRollingBack = false;
    }

    /** Records that a plan's change has failed and does not run. */
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

    /** Returns the key of the plan that a rollback would undo; empty if there is none. */
    String activeKey() {
        return startingKey.isEmpty() ? runningKey : startingKey;
    }

    /** Returns the phase of this balancer in a plan. */
    Phase phase(String planKey) {
        if (isStarting() || isRollingBack) {
            return Phase.CHANGING;
        }
        return isRunning(planKey) ? Phase.CANARY : Phase.BASELINE;
    }
}
