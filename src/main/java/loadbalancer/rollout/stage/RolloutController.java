package loadbalancer.rollout.stage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.analysis.WindowCounters;
import loadbalancer.rollout.plan.InvalidPlanException;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.PlanFile;
import loadbalancer.rollout.stage.RolloutStatement.DigestCheck;

/**
 * Staged rollout at one member: the fleet's statements and what its own balancer does in, actions
 * out. Each step checks for a halt before anything is started.
 *
 * <p>Not thread-safe: all calls come from the fleet's thread. Times are microseconds of a monotonic
 * clock that advances while the process is stopped; windows are numbered by the wall clock.
 */
public final class RolloutController {
    /** After its start, or after it was stopped, a member only listens for so long. */
    static final long QUIET_MICROS = 10_000_000;

    /** Steps come about every second; a longer pause than this means that it was stopped. */
    static final long MAX_STEP_MICROS = 5_000_000;

    /** Roll-backs of the fleet are spread over so long, since a start takes processor time. */
    private static final long MAX_ROLLBACK_DELAY_MICROS = 10_000_000;

    /** How often a digest that did not match is computed again. */
    private static final long DIGEST_CHECK_INTERVAL_MICROS = 30_000_000;

    private final SharedState shared;
    private final RandomGenerator random;
    private final Consumer<String> log;
    private final PlanSelector plans;
    private final PlanConflict conflict;
    private final LocalChange local;
    private final List<RolloutAction> actions = new ArrayList<>();

    /** Null while there is no current plan. */
    private PlanProgress progress;

    private long quietUntilMicros = Long.MIN_VALUE;
    private long lastStepMicros = Long.MIN_VALUE;
    private long rollBackAtMicros = Long.MAX_VALUE;
    private long nextDigestCheckMicros;

    /**
     * Starts from what was saved by the last process.
     *
     * @param runningKey key of the plan whose change this balancer runs, empty for none
     * @param lastCompletedNumber number of the last complete plan, 0 for none
     * @param log takes lines for operators
     */
    public RolloutController(
            SharedState shared,
            RandomGenerator random,
            String runningKey,
            long lastCompletedNumber,
            Consumer<String> log) {
        this.shared = shared;
        this.random = random;
        this.log = log;
        this.local = new LocalChange(runningKey);
        this.plans = new PlanSelector(shared, random, lastCompletedNumber, log);
        this.conflict = new PlanConflict(shared);
    }

    /**
     * Takes a plan from an operator.
     *
     * @param zoneByMember those of the roster, for a plan that names none
     * @throws InvalidPlanException if it can't be used, or not now
     */
    public void submit(long nowMicros, String text, Map<String, String> zoneByMember)
            throws InvalidPlanException {
        plans.submit(nowMicros, PlanFile.withZones(text, zoneByMember));
    }

    /**
     * Does what is due; to be called about once a second.
     *
     * @param window number of the present window by the wall clock
     * @return what has to be done on this machine, in order
     */
    public List<RolloutAction> step(long nowMicros, long window) {
        actions.clear();
        long elapsedMicros = advance(nowMicros);
        boolean isQuiet = nowMicros < quietUntilMicros;
        selectPlan(nowMicros, isQuiet);
        if (progress != null) {
            progress.update(nowMicros, elapsedMicros, window);
            haltIfNeeded(nowMicros, isQuiet);
        }
        rollBackIfHalted(nowMicros);
        if (progress != null && !HaltFlags.isRaised(shared, progress.plan().key())) {
            proceed(nowMicros, isQuiet);
        }
        return List.copyOf(actions);
    }

    /** Returns for how long the process has run since the last step. */
    private long advance(long nowMicros) {
        boolean isFirst = lastStepMicros == Long.MIN_VALUE;
        if (isFirst || nowMicros - lastStepMicros > MAX_STEP_MICROS) {
            quietUntilMicros = nowMicros + QUIET_MICROS;
            if (progress != null) {
                progress.onResumed();
            }
        }
        long elapsedMicros = isFirst ? 0 : Math.min(nowMicros - lastStepMicros, MAX_STEP_MICROS);
        lastStepMicros = nowMicros;
        return elapsedMicros;
    }

    private void selectPlan(long nowMicros, boolean isQuiet) {
        Optional<Plan> plan = plans.select(nowMicros);
        if (progress != null && !progress.plan().equals(plan.orElse(null))) {
            progress = null;
        }
        if (progress == null && plan.isPresent() && !isQuiet) {
            progress = new PlanProgress(plan.get(), shared, random, nowMicros);
            nextDigestCheckMicros = nowMicros;
            log.accept("follows " + plan.get().title());
        }
        if (progress == null || isQuiet || !plans.others().iterator().hasNext()) {
            conflict.clear();
        } else {
            conflict.resolve(nowMicros, progress.plan(), plans.others());
        }
    }

    private void haltIfNeeded(long nowMicros, boolean isQuiet) {
        if (!isQuiet) {
            progress.haltReason()
                    .ifPresent(
                            reason ->
                                    HaltFlags.raise(
                                            shared, nowMicros, progress.plan().key(), reason));
        }
    }

    private void rollBackIfHalted(long nowMicros) {
        String key = local.activeKey();
        boolean isHalted = !key.isEmpty() && HaltFlags.isRaised(shared, key);
        boolean isCutOff =
                progress != null && progress.plan().key().equals(key) && progress.isCutOff();
        if (local.isRollingBack()) {
            return;
        }
        if (!isHalted && !isCutOff) {
            rollBackAtMicros = Long.MAX_VALUE;
            return;
        }
        if (rollBackAtMicros == Long.MAX_VALUE) {
            rollBackAtMicros =
                    nowMicros
                            + (local.isStarting() ? 0 : random.nextLong(MAX_ROLLBACK_DELAY_MICROS));
        }
        if (nowMicros >= rollBackAtMicros) {
            local.rollBack();
            rollBackAtMicros = Long.MAX_VALUE;
            String reason =
                    isHalted
                            ? HaltFlags.reason(shared, key)
                            : "cut off from the fleet for longer than a stage may last";
            actions.add(new RolloutAction.RollBack(key, reason));
        }
    }

    private void proceed(long nowMicros, boolean isQuiet) {
        Plan plan = progress.plan();
        if (progress.digestCheck() != DigestCheck.MATCHES && nowMicros >= nextDigestCheckMicros) {
            nextDigestCheckMicros = nowMicros + DIGEST_CHECK_INTERVAL_MICROS;
            actions.add(new RolloutAction.VerifyDigest(plan));
        }
        boolean canStart =
                !isQuiet
                        && !local.isStarting()
                        && !local.isRollingBack()
                        && !local.isRunning(plan.key())
                        && !progress.isCutOff();
        boolean isReady = canStart && local.isServing() || local.isStarting(plan.key());
        if (progress.mayStart(nowMicros, isReady) && canStart) {
            local.start(plan.key());
            actions.add(new RolloutAction.StartChange(plan));
        }
        progress.publish(nowMicros, local.phase(plan.key()), local.isServing(), isQuiet);
    }

    /**
     * Reports the digest of what a plan names as it is on this machine.
     *
     * @param digest empty if it can't be read
     */
    public void onDigestComputed(String planKey, String digest) {
        if (progress == null || !progress.plan().key().equals(planKey)) {
            return;
        }
        Plan plan = progress.plan();
        boolean matches = plan.change().digest().equals(digest);
        if (!matches && progress.digestCheck() != DigestCheck.DIFFERS) {
            log.accept(
                    plan.title()
                            + ": the digest of "
                            + plan.change().name()
                            + " does not match here; nothing starts");
        }
        progress.setDigestCheck(matches ? DigestCheck.MATCHES : DigestCheck.DIFFERS);
    }

    /**
     * Reports that the balancer runs a plan's change now.
     *
     * @param planKey empty for what ran before any plan
     */
    public void onRunning(String planKey) {
        local.onRunning(planKey);
    }

    /** Reports whether the balancer serves. */
    public void setServing(boolean serves) {
        local.setServing(serves);
    }

    /**
     * Reports that the change of a plan could not be brought to serve, or not for long, and that
     * this balancer runs what ran before. The plan is halted, unless it is complete: one machine's
     * fault does not undo that.
     */
    public void onChangeFailed(long nowMicros, String planKey, String reason) {
        local.onFailed(planKey);
        if (progress == null || !progress.plan().key().equals(planKey) || progress.isComplete()) {
            log.accept("rolled back a change on this machine alone: " + reason);
            return;
        }
        HaltFlags.raise(shared, nowMicros, planKey, shared.self() + " " + reason);
    }

    /** What to publish counters for; empty while no plan is in progress. */
    public Optional<Measurement> measurement() {
        if (progress == null || progress.isComplete()) {
            return Optional.empty();
        }
        long cohortBits =
                switch (local.phase(progress.plan().key())) {
                    case BASELINE -> WindowCounters.BASELINE;
                    case CANARY -> WindowCounters.CANARY;
                    case CHANGING -> WindowCounters.BASELINE | WindowCounters.CANARY;
                };
        return Optional.of(new Measurement(progress.plan(), cohortBits));
    }

    /** Number of the last complete plan, to be saved for the next process. */
    public long lastCompletedNumber() {
        return plans.lastCompletedNumber();
    }

    /** One line for operators. */
    public String status() {
        return progress == null ? "no plan" : progress.plan().title() + ": " + progress.status();
    }

    /** The open stage, the last one if the rollout is complete; 0 while no plan is current. */
    public int openStage() {
        return progress == null ? 0 : Math.min(progress.openStage(), progress.plan().stageCount());
    }
}
