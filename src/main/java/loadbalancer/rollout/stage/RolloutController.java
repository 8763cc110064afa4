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
 * Controls staged rollouts at one member. It turns the fleet's statements and the state of its own
 * balancer into actions. Each step checks for a halt before it starts a change.
 *
 * <p>Not thread-safe: all calls come from the fleet's thread. Times are microseconds of a monotonic
 * clock that advances while the process is suspended; windows are numbered by the wall clock.
 */
public final class RolloutController {
    /** How long a member makes no decisions after its start or after it was suspended. */
    static final long QUIET_MICROS = 10_000_000;

    /** Steps occur about once a second; a longer pause means that the process was suspended. */
    static final long MAX_STEP_MICROS = 5_000_000;

    /** The fleet's rollbacks are spread over this time, as starting takes processor time. */
    private static final long MAX_ROLLBACK_DELAY_MICROS = 10_000_000;

    /** Interval at which a digest that does not match is computed again. */
    private static final long DIGEST_CHECK_INTERVAL_MICROS = 30_000_000;

    private final SharedState shared;
    private final RandomGenerator random;
    private final Consumer<String> log;
    private final PlanSelector plans;
    private final PlanConflict conflict;
    private final LocalChange local;
    private final List<RolloutAction> actions = new ArrayList<>();

    /** Progress of the current plan; null if there is none. */
    private PlanProgress progress;

    private long quietUntilMicros = Long.MIN_VALUE;
    private long lastStepMicros = Long.MIN_VALUE;
    private long rollBackAtMicros = Long.MAX_VALUE;
    private long nextDigestCheckMicros;

    /**
     * Creates a controller from the state saved by the last process.
     *
     * @param runningKey key of the plan whose change this balancer runs; empty if none
     * @param lastCompletedNumber number of the last complete plan; 0 if none
     * @param log receives log lines for operators
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
     * Publishes a plan submitted by an operator.
     *
     * @param zoneByMember zones of the roster, used if the plan has none
     * @throws InvalidPlanException if the plan is invalid or conflicts with another plan
     */
    public void submit(long nowMicros, String text, Map<String, String> zoneByMember)
            throws InvalidPlanException {
        plans.submit(nowMicros, PlanFile.withZones(text, zoneByMember));
    }

    /**
     * Advances the rollout; to be called about once a second.
     *
     * @param window number of the present window by the wall clock
     * @return the actions to execute on this machine, in order
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

    /** Returns the time for which the process has run since the last step. */
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
            log.accept("following " + plan.get().title());
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
                            : "no majority of the fleet reachable for longer than a stage may last";
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
     * Reports the digest of the plan's program or file on this machine.
     *
     * @param digest the digest; empty if the files cannot be read
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
                            + " does not match at this member; the rollout does not start");
        }
        progress.setDigestCheck(matches ? DigestCheck.MATCHES : DigestCheck.DIFFERS);
    }

    /**
     * Reports that the balancer now runs a plan's change.
     *
     * @param planKey key of the plan; empty for the program from before any plan
     */
    public void onRunning(String planKey) {
        local.onRunning(planKey);
    }

    /** Reports whether the balancer serves requests. */
    public void setServing(boolean serves) {
        local.setServing(serves);
    }

    /**
     * Reports that the change of a plan did not start serving or stopped soon after, and that this
     * balancer runs the previous program again. The plan is halted unless it is complete, since the
     * failure of one machine does not undo a complete rollout.
     */
    public void onChangeFailed(long nowMicros, String planKey, String reason) {
        local.onFailed(planKey);
        if (progress == null || !progress.plan().key().equals(planKey) || progress.isComplete()) {
            log.accept("rolled back the change on this machine only: " + reason);
            return;
        }
        HaltFlags.raise(shared, nowMicros, planKey, shared.self() + " " + reason);
    }

    /** Returns the plan and cohort to publish counters for; empty if no plan is in progress. */
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

    /** Returns the number of the last complete plan, to be saved for the next process. */
    public long lastCompletedNumber() {
        return plans.lastCompletedNumber();
    }

    /** Returns the status for operators, in one line. */
    public String status() {
        return progress == null ? "no plan" : progress.plan().title() + ": " + progress.status();
    }

    /** Returns the open stage, or the last one if the rollout is complete; 0 without a plan. */
    public int openStage() {
        return progress == null ? 0 : Math.min(progress.openStage(), progress.plan().stageCount());
    }
}
