package loadbalancer.node.supervisor;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.plan.Digests;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.PlannedChange;
import loadbalancer.rollout.stage.RolloutAction;
import loadbalancer.rollout.stage.RolloutController;

/**
 * Executes a rollout's actions on the processes, reports the results to the rollout, and saves the
 * state that must survive a restart of the supervisor. Called from the supervisor's thread, which
 * file access may block. Times are microseconds of the monotonic clock.
 */
final class RolloutExecutor {
    private final SupervisorConfig config;
    private final ProcessSupervisor supervisor;
    private final Consumer<String> log;

    /** Null unless the supervisor has joined a fleet; without a fleet, no plan changes anything. */
    private RolloutController rollout;

    private SupervisorState state;

    /** The plan whose change was started but does not serve yet; null if there is none. */
    private Plan startedPlan;

    /** The variant that serves; null before the first process does. */
    private Variant serving;

    RolloutExecutor(
            SupervisorConfig config,
            SupervisorState state,
            ProcessSupervisor supervisor,
            Consumer<String> log) {
        this.config = config;
        this.state = state;
        this.supervisor = supervisor;
        this.log = log;
    }

    /** Joins a fleet, and returns the controller of its rollouts. */
    RolloutController join(SharedState shared, RandomGenerator random) {
        rollout =
                new RolloutController(
                        shared, random, state.planKey(), state.lastCompletedNumber(), log);
        return rollout;
    }

    /** Executes what the rollout decides; {@code window} is the number of the current window. */
    void step(long nowMicros, long window) throws IOException {
        if (rollout == null) {
            return;
        }
        for (RolloutAction action : rollout.step(nowMicros, window)) {
            if (action instanceof RolloutAction.VerifyDigest verify) {
                Plan plan = verify.plan();
                rollout.onDigestComputed(plan.key(), digest(plan.change()));
            } else if (action instanceof RolloutAction.StartChange start) {
                startChange(nowMicros, start.plan());
            } else if (action instanceof RolloutAction.RollBack rollBack) {
                rollBack(rollBack.planKey(), rollBack.reason());
            }
        }
        if (rollout.lastCompletedNumber() > state.lastCompletedNumber()) {
            save(state.withLastCompletedNumber(rollout.lastCompletedNumber()));
        }
    }

    private void startChange(long nowMicros, Plan plan) throws IOException {
        // Computed again, because the folder may have changed since the first verification.
        if (!plan.change().digest().equals(digest(plan.change()))) {
            rollout.onDigestComputed(plan.key(), "");
            rollout.onChangeFailed(
                    nowMicros, plan.key(), "computed a digest other than the plan's");
            return;
        }
        Variant next = variantOf(plan.change());
        log.accept("changing to " + next + " for " + plan.title());
        if (next.equals(state.running())) {
            save(state.withChange(plan.key(), next));
            rollout.onRunning(plan.key());
            return;
        }
        startedPlan = plan;
        supervisor.setDesired(next, state.running());
    }

    private void rollBack(String planKey, String reason) throws IOException {
        log.accept("rolling back to " + state.previous() + ": " + reason);
        boolean isRunning = planKey.equals(state.planKey());
        Variant target = isRunning ? state.previous() : state.running();
        startedPlan = null;
        supervisor.setDesired(target, null); // without a fallback, restarted until it serves
        if (isRunning) {
            save(state.withoutChange(target));
        }
        if (target.equals(serving)) {
            rollout.onRunning(state.planKey());
        }
    }

    /** Called when a variant has begun to serve. */
    void onServing(Variant variant) throws IOException {
        serving = variant;
        if (isStarted(variant)) {
            save(state.withChange(startedPlan.key(), variant));
            startedPlan = null;
        }
        if (rollout != null && variant.equals(state.running())) {
            rollout.onRunning(state.planKey());
        }
    }

    /** Called when a variant did not become ready, or failed soon after it began to serve. */
    void onFailed(long nowMicros, Variant variant, String reason) throws IOException {
        log.accept(reason + "; rolling back to " + supervisor.desired());
        if (isStarted(variant)) {
            String planKey = startedPlan.key();
            startedPlan = null;
            rollout.onChangeFailed(nowMicros, planKey, reason);
        } else if (!state.planKey().isEmpty() && variant.equals(state.running())) {
            String planKey = state.planKey();
            save(state.withoutChange(state.previous()));
            if (rollout != null) {
                rollout.onChangeFailed(nowMicros, planKey, reason);
            }
        }
    }

    private boolean isStarted(Variant variant) {
        return startedPlan != null && variant.equals(variantOf(startedPlan.change()));
    }

    private void save(SupervisorState next) throws IOException {
        state = next;
        state.write(config.stateFolder());
    }

    private Variant variantOf(PlannedChange change) {
        Variant running = state.running();
        return change.kind() == PlannedChange.Kind.PROGRAM
                ? new Variant(change.name(), running.operatorFile())
                : new Variant(running.program(), change.name());
    }

    private String digest(PlannedChange change) {
        Path folder =
                change.kind() == PlannedChange.Kind.PROGRAM
                        ? config.programs()
                        : config.operatorFiles();
        Path path = folder.resolve(change.name());
        try {
            return Digests.ofPath(path);
        } catch (IOException e) {
            log.accept("can't read " + path + ": " + e.getMessage());
            return "";
        }
    }
}
