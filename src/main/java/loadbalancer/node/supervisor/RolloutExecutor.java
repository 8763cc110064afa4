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
 * Carries out a rollout's actions on the processes, reports back what became of them, and saves
 * what must outlive the supervisor. Called from the supervisor's thread, which file access may
 * block; times are microseconds of the monotonic clock.
 */
final class RolloutExecutor {
    private final SupervisorConfig config;
    private final ProcessSupervisor supervisor;
    private final Consumer<String> log;

    /** Null while the supervisor has no fleet; then nothing ever changes. */
    private RolloutController rollout;

    private SupervisorState state;

    /** The plan whose change was started and does not serve yet; null for none. */
    private Plan startedPlan;

    /** Null before the first process serves. */
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

    /** Joins a fleet. */
    RolloutController join(SharedState shared, RandomGenerator random) {
        rollout =
                new RolloutController(
                        shared, random, state.planKey(), state.lastCompletedNumber(), log);
        return rollout;
    }

    /** Does what the rollout decides; {@code window} is the present one. */
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
        // Computed again: the folder may have changed since it was verified.
        if (!plan.change().digest().equals(digest(plan.change()))) {
            rollout.onDigestComputed(plan.key(), "");
            rollout.onChangeFailed(nowMicros, plan.key(), "finds another digest than the plan's");
            return;
        }
        Variant next = variantOf(plan.change());
        log.accept("changes to " + next + " by " + plan.title());
        if (next.equals(state.running())) {
            save(state.withChange(plan.key(), next));
            rollout.onRunning(plan.key());
            return;
        }
        startedPlan = plan;
        supervisor.setDesired(next, state.running());
    }

    private void rollBack(String planKey, String reason) throws IOException {
        log.accept("rolls back to " + state.previous() + ": " + reason);
        boolean isRunning = planKey.equals(state.planKey());
        Variant target = isRunning ? state.previous() : state.running();
        startedPlan = null;
        supervisor.setDesired(target, null); // without a fallback it is tried until it serves
        if (isRunning) {
            save(state.withoutChange(target));
        }
        if (target.equals(serving)) {
            rollout.onRunning(state.planKey());
        }
    }

    /** A variant serves now. */
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

    /** A variant could not be brought to serve, or not for long. */
    void onFailed(long nowMicros, Variant variant, String reason) throws IOException {
        log.accept(reason + "; rolls back to " + supervisor.desired());
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
