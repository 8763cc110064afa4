package loadbalancer.rollout.stage;

import java.util.Map;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.analysis.CanaryAnalysis;
import loadbalancer.rollout.analysis.Verdict;
import loadbalancer.rollout.plan.Order;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.stage.Statement.Fits;
import loadbalancer.rollout.stage.Statement.Phase;

/** One plan at one member, as long as it is under way. */
final class PlanProgress {
    /** Members of a stage don't all begin in one instant. */
    private static final long JITTER_US = 5_000_000;

    /** An ask that a majority has not answered by then is asked anew. */
    private static final long ASK_US = 30_000_000;

    /**
     * For so long after the first stage has opened, one that is a little late may still learn the
     * time before.
     */
    private static final long LATE_US = 30_000_000;

    final Plan plan;
    final Order order;
    private final SharedState shared;
    private final RandomGenerator random;
    private final CanaryAnalysis judge;
    private final RolloutTurn turn;
    private final Votes votes;
    private Verdict verdict = new Verdict(Verdict.Kind.WAIT, "begins");
    private Fits fits = Fits.UNKNOWN;
    private Statement said;
    private int passed;
    private int opened;
    private int judged;
    private long openedAt;
    private long waited;
    private long cutOff;
    private long askAt;
    private long ask;

    PlanProgress(Plan plan, SharedState shared, RandomGenerator random, long now) {
        this.plan = plan;
        this.order = Order.of(plan);
        this.shared = shared;
        this.random = random;
        this.judge = new CanaryAnalysis(plan, order, shared);
        this.turn = new RolloutTurn(plan, order, shared);
        this.openedAt = now;
        this.votes = new Votes(shared, plan.key());
    }

    /**
     * Takes in what the fleet says; {@code passedBy} is how long this member has been awake since
     * the last.
     */
    void look(long now, long passedBy, long window) {
        votes.look(now);
        int open = Math.max(opened, votes.opened(plan.last()));
        if (open > opened) {
            opened = open;
            openedAt = now;
            waited = 0;
        }
        if (opened > judged
                && opened <= plan.last()
                && (judged > 0 || judge.knows() || now - openedAt > LATE_US)) {
            judged = opened;
            judge.enter(judged);
        }
        boolean heard = hearsMajority();
        waited += heard ? passedBy : 0;
        cutOff = heard ? 0 : cutOff + passedBy;
        verdict = done() ? verdict : judge.look(window);
        if (verdict.kind() == Verdict.Kind.GO && judged == opened && allFit()) {
            passed = Math.max(passed, opened + 1);
        }
    }

    private boolean hearsMajority() {
        return shared.roster().stream()
                        .filter(n -> shared.isEligibleVoter(n) && shared.isAlive(n))
                        .count()
                >= shared.majority();
    }

    /** What does not fit somewhere starts nothing anywhere. */
    private boolean allFit() {
        return votes.count(s -> s.fits() == Fits.NO) == 0 && fits == Fits.YES;
    }

    /** Why all must go back; null as long as they need not. */
    String halt() {
        if (done()) {
            return null;
        }
        if (verdict.kind() == Verdict.Kind.STOP) {
            return "stage " + judged + ": " + verdict.reason();
        }
        if (waited > plan.exposure().longest() * 1_000_000) {
            String why =
                    fits == Fits.YES
                            ? allFit() ? verdict.reason() : "the digest does not fit at another"
                            : "the digest does not fit here";
            return "stage " + opened + " ran out of time: " + why;
        }
        return null;
    }

    /** Whether a majority holds the verdict of the last stage. */
    boolean done() {
        return opened > plan.last();
    }

    /** Whether it has been without a majority for longer than a stage may last. */
    boolean isCutOff() {
        return !done() && cutOff > plan.exposure().longest() * 1_000_000;
    }

    /** Whether this member may begin now. Asks for it where it is its turn. */
    boolean mayBegin(long now, boolean ready) {
        int stage = Math.min(opened, plan.last());
        if (!ready || fits != Fits.YES || turn.whyNot(votes, stage) != null) {
            ask = 0;
            askAt = 0;
            return false;
        }
        if (askAt == 0 || ask != 0 && now - askAt > ASK_US) {
            ask = 0;
            askAt = now + random.nextLong(JITTER_US);
        }
        if (ask == 0 && now >= askAt) {
            ask = 1 + random.nextLong(Long.MAX_VALUE - 1);
        }
        return votes.granted(shared.self(), ask, stage);
    }

    /** It was stopped: what it was granted before that may not hold any more. */
    void woke() {
        ask = 0;
        askAt = 0;
    }

    void fits(Fits found) {
        fits = found;
    }

    Fits fits() {
        return fits;
    }

    /** States what has changed of this member. */
    void say(long now, Phase phase, boolean serving, boolean quiet) {
        Map<String, Long> grants = quiet ? Map.of() : turn.grants(votes, passed);
        Statement next =
                new Statement(passed, phase, serving, fits, phase == Phase.NEW ? 0 : ask, grants);
        if (!next.equals(said)) {
            said = next;
            shared.publish(now, Votes.topic(plan.key()), next.bytes());
        }
    }

    /** For operators. */
    String state() {
        return done()
                ? "done"
                : "stage "
                        + opened
                        + " of "
                        + plan.last()
                        + ", "
                        + votes.count(s -> s.phase() == Phase.NEW)
                        + " changed, "
                        + verdict.reason();
    }

    int opened() {
        return opened;
    }
}
