package loadbalancer.rollout.stage;

import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.analysis.CanaryAnalysis;
import loadbalancer.rollout.analysis.Verdict;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.RolloutOrder;
import loadbalancer.rollout.stage.RolloutStatement.DigestCheck;
import loadbalancer.rollout.stage.RolloutStatement.Phase;

/**
 * Tracks the current plan at this member: the open stage, this member's verdict on it and its
 * statement to the fleet. Called from the fleet's thread; times are microseconds of the monotonic
 * clock.
 */
final class PlanProgress {
    /**
     * How long after the first stage opens the analysis may still complete this member's baseline.
     */
    private static final long BASELINE_GRACE_MICROS = 30_000_000;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Plan plan;
    private final SharedState shared;
    private final CanaryAnalysis analysis;
    private final ChangeAdmission admission;
    private final RolloutVotes votes;
    private final StartRequest request;
    private Verdict verdict = Verdict.inconclusive("not yet analyzed");
    private DigestCheck digestCheck = DigestCheck.UNKNOWN;
    private RolloutStatement published;
    private int passedStages;
    private int openStage;
    private int analyzedStage;
    private long openedAtMicros;
    private long stageMicros;
    private long withoutMajorityMicros;

    PlanProgress(Plan plan, SharedState shared, RandomGenerator random, long nowMicros) {
        RolloutOrder order = RolloutOrder.of(plan);
        this.plan = plan;
        this.shared = shared;
        this.analysis = new CanaryAnalysis(plan, order, shared);
        this.admission = new ChangeAdmission(plan, order, shared);
        this.votes = new RolloutVotes(shared, plan.key());
        this.request = new StartRequest(random);
        this.openedAtMicros = nowMicros;
    }

    Plan plan() {
        return plan;
    }

    /**
     * Reads the fleet's statements and analyzes the settled windows.
     *
     * @param elapsedMicros time for which this member has run since the last call
     * @param window number of the present window
     */
    void update(long nowMicros, long elapsedMicros, long window) {
        votes.refresh(nowMicros);
        openStages(nowMicros);
        boolean isConnected = isConnectedToMajority();
        stageMicros += isConnected ? elapsedMicros : 0;
        withoutMajorityMicros = isConnected ? 0 : withoutMajorityMicros + elapsedMicros;
        verdict = isComplete() ? verdict : analysis.analyze(window);
        if (verdict.kind() == Verdict.Kind.PASS
                && analyzedStage == openStage
                && allDigestsMatch()) {
            passedStages = Math.max(passedStages, openStage + 1);
        }
    }

    private void openStages(long nowMicros) {
        int votedStage = votes.openStage(plan.stageCount());
        if (votedStage > openStage) {
            openStage = votedStage;
            openedAtMicros = nowMicros;
            stageMicros = 0;
        }
        if (openStage > analyzedStage
                && openStage <= plan.stageCount()
                && isBaselineOver(nowMicros)) {
            analyzedStage = openStage;
            analysis.startStage(analyzedStage);
        }
    }

    private boolean isBaselineOver(long nowMicros) {
        return analyzedStage > 0
                || analysis.isBaselineKnown()
                || nowMicros - openedAtMicros > BASELINE_GRACE_MICROS;
    }

    private boolean isConnectedToMajority() {
        return shared.roster().stream()
                        .filter(
                                member ->
                                        shared.isEligibleVoter(member) && shared.isPresent(member))
                        .count()
                >= shared.majority();
    }

    /** A different digest on a single machine blocks the rollout on all machines. */
    private boolean allDigestsMatch() {
        return votes.count(statement -> statement.digestCheck() == DigestCheck.DIFFERS) == 0
                && digestCheck == DigestCheck.MATCHES;
    }

    /** Returns why the plan must be halted, or empty if it need not be. */
    Optional<String> haltReason() {
        if (isComplete()) {
            return Optional.empty();
        }
        if (verdict.kind() == Verdict.Kind.FAIL) {
            return Optional.of("stage " + analyzedStage + ": " + verdict.reason());
        }
        return stageMicros > stageLimitMicros()
                ? Optional.of("stage " + openStage + " timed out: " + blockedBy())
                : Optional.empty();
    }

    private String blockedBy() {
        if (digestCheck != DigestCheck.MATCHES) {
            return "the digest does not match at this member";
        }
        return allDigestsMatch() ? verdict.reason() : "the digest does not match at another member";
    }

    private long stageLimitMicros() {
        return plan.exposure().maxSeconds() * MICROS_PER_SECOND;
    }

    /** Returns whether the last stage has passed by the verdict of a majority. */
    boolean isComplete() {
        return openStage > plan.stageCount();
    }

    /** Returns whether this member has had no majority for longer than a stage may last. */
    boolean isCutOff() {
        return !isComplete() && withoutMajorityMicros > stageLimitMicros();
    }

    /** Returns whether this member may start its change now, and requests it when admitted. */
    boolean mayStart(long nowMicros, boolean isReady) {
        int stage = Math.min(openStage, plan.stageCount());
        if (!isReady || digestCheck != DigestCheck.MATCHES || !admission.mayRequest(votes, stage)) {
            request.withdraw();
            return false;
        }
        return votes.isGranted(shared.self(), request.refresh(nowMicros), stage);
    }

    /** Withdraws the request after the process was suspended, since its grants may be outdated. */
    void onResumed() {
        request.withdraw();
    }

    void setDigestCheck(DigestCheck result) {
        digestCheck = result;
    }

    DigestCheck digestCheck() {
        return digestCheck;
    }

    /** Publishes this member's statement if it has changed, without grants while quiet. */
    void publish(long nowMicros, Phase phase, boolean isServing, boolean isQuiet) {
        Map<String, Long> grants = isQuiet ? Map.of() : admission.grants(votes, passedStages);
        RolloutStatement next =
                new RolloutStatement(
                        passedStages,
                        phase,
                        isServing,
                        digestCheck,
                        phase == Phase.CANARY ? 0 : request.requestId(),
                        grants);
        if (!next.equals(published)) {
            published = next;
            shared.publish(nowMicros, RolloutTopics.statements(plan.key()), next.encode());
        }
    }

    /** Returns the status for operators. */
    String status() {
        return isComplete()
                ? "done"
                : "stage "
                        + openStage
                        + " of "
                        + plan.stageCount()
                        + ", "
                        + votes.count(statement -> statement.phase() == Phase.CANARY)
                        + " changed, "
                        + verdict.reason();
    }

    /** Returns the open stage, or the stage count plus one if the rollout is complete. */
    int openStage() {
        return openStage;
    }
}
