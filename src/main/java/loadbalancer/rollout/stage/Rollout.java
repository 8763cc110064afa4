package loadbalancer.rollout.stage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.analysis.Counts;
import loadbalancer.rollout.plan.InvalidPlanException;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.PlanFile;
import loadbalancer.rollout.stage.Statement.Fits;
import loadbalancer.rollout.stage.Statement.Phase;

/**
 * Staged change at one member: what the fleet says and what its own balancer does in, decisions
 * out. A halt is looked for before anything else, in every step. Times are microseconds of a clock
 * that only advances and that goes on while the process is stopped. All calls come from one thread.
 */
public final class Rollout {
    /**
     * After its start, or after it was stopped, a member listens for so long before it does
     * anything.
     */
    static final long QUIET_US = 10_000_000;

    /** Steps come every second or so; after a longer pause it may have missed anything. */
    static final long GAP_US = 5_000_000;

    /** Two plans at one time are settled once they have been seen for so long. */
    private static final long CONFLICT_US = 10_000_000;

    /**
     * All that changed go back, spread over so long: a successor's start costs all a machine has to
     * spare.
     */
    private static final long BACK_US = 10_000_000;

    /** How often a digest that did not fit is counted again. */
    private static final long CHECK_US = 30_000_000;

    private final SharedState shared;
    private final RandomGenerator random;
    private final Consumer<String> report;
    private final Plans plans;
    private final List<Action> actions = new ArrayList<>();
    private PlanProgress course;
    private String runs;
    private String becoming = "";
    private boolean goingBack;
    private boolean serving;
    private long quietUntil = Long.MIN_VALUE;
    private long last = Long.MIN_VALUE;
    private long backAt = Long.MAX_VALUE;
    private long checkAt;
    private long conflictSince = Long.MAX_VALUE;

    /**
     * Begins with what outlived the last process.
     *
     * @param runs key of the plan whose change this balancer runs, empty for none
     * @param finished number of the last plan that was done, 0 for none
     * @param report takes lines for the log
     */
    public Rollout(
            SharedState shared,
            RandomGenerator random,
            String runs,
            long finished,
            Consumer<String> report) {
        this.shared = shared;
        this.random = random;
        this.runs = runs;
        this.report = report;
        this.plans = new Plans(shared, random, finished, report);
    }

    /**
     * Takes a plan from an operator; {@code zones} are those of the roster, for a plan that names
     * none.
     */
    public void give(long now, String text, Map<String, String> zones) throws InvalidPlanException {
        plans.give(now, PlanFile.withZones(text, zones));
    }

    /** Looks at everything; {@code window} is the number of the present one by the wall clock. */
    public List<Action> step(long now, long window) {
        actions.clear();
        if (last == Long.MIN_VALUE || now - last > GAP_US) {
            quietUntil = now + QUIET_US;
            if (course != null) {
                course.woke();
            }
        }
        long passedBy = last == Long.MIN_VALUE ? 0 : Math.min(now - last, GAP_US);
        last = now;
        boolean quiet = now < quietUntil;
        choose(now, quiet);
        if (course != null) {
            course.look(now, passedBy, window);
            String why = quiet ? null : course.halt();
            if (why != null) {
                HaltFlags.raise(shared, now, course.plan.key(), why);
            }
        }
        goBackIfHalted(now);
        if (course != null && !HaltFlags.up(shared, course.plan.key())) {
            goOn(now, quiet);
        }
        return List.copyOf(actions);
    }

    private void choose(long now, boolean quiet) {
        Plan plan = plans.choose(now);
        if (course != null && !course.plan.equals(plan)) {
            course = null;
        }
        if (course == null && plan != null && !quiet) {
            course = new PlanProgress(plan, shared, random, now);
            checkAt = now;
            report.accept("follows " + plan.title());
        }
        settle(now, quiet);
    }

    /**
     * Of two plans the lower one wins; the other is halted, so that it does not begin by itself
     * later.
     */
    private void settle(long now, boolean quiet) {
        if (course == null || quiet || !plans.others().iterator().hasNext()) {
            conflictSince = Long.MAX_VALUE;
            return;
        }
        conflictSince = Math.min(conflictSince, now);
        if (now - conflictSince < CONFLICT_US) {
            return;
        }
        for (Plan other : plans.others()) {
            HaltFlags.raise(
                    shared,
                    now,
                    other.key(),
                    course.plan.title() + " was under way; begin anew after it");
        }
    }

    private void goBackIfHalted(long now) {
        String key = becoming.isEmpty() ? runs : becoming;
        boolean halted = !key.isEmpty() && HaltFlags.up(shared, key);
        boolean alone = course != null && course.plan.key().equals(key) && course.isCutOff();
        if (goingBack || !halted && !alone) {
            backAt = goingBack ? backAt : Long.MAX_VALUE;
            return;
        }
        if (backAt == Long.MAX_VALUE) {
            backAt = now + (becoming.isEmpty() ? random.nextLong(BACK_US) : 0);
        }
        if (now >= backAt) {
            goingBack = true;
            backAt = Long.MAX_VALUE;
            actions.add(
                    new Action.GoBack(
                            key,
                            halted
                                    ? HaltFlags.reason(shared, key)
                                    : "cut off from the fleet for longer than a stage may last"));
        }
    }

    private void goOn(long now, boolean quiet) {
        if (course.fits() != Fits.YES && now >= checkAt) {
            checkAt = now + CHECK_US;
            actions.add(new Action.Check(course.plan));
        }
        boolean idle =
                !quiet
                        && becoming.isEmpty()
                        && !goingBack
                        && !runs.equals(course.plan.key())
                        && !course.isCutOff();
        if (course.mayBegin(now, idle && serving || becoming.equals(course.plan.key())) && idle) {
            becoming = course.plan.key();
            actions.add(new Action.Begin(course.plan));
        }
        course.say(now, phase(), serving, quiet);
    }

    private Phase phase() {
        if (!becoming.isEmpty() || goingBack) {
            return Phase.BETWEEN;
        }
        return runs.equals(course.plan.key()) ? Phase.NEW : Phase.OLD;
    }

    /** The digest of what a plan names, as it lies on this machine; empty if it can't be read. */
    public void checked(String key, String digest) {
        if (course != null && course.plan.key().equals(key)) {
            boolean same = course.plan.change().digest().equals(digest);
            if (!same && course.fits() != Fits.NO) {
                report.accept(
                        course.plan.title()
                                + ": "
                                + course.plan.change().name()
                                + " has not the digest of the plan here; nothing starts");
            }
            course.fits(same ? Fits.YES : Fits.NO);
        }
    }

    /**
     * The balancer runs the change of that plan now, or what was before any if the key is empty.
     */
    public void became(String key) {
        runs = key;
        becoming = "";
        goingBack = false;
    }

    /** Whether the balancer serves. */
    public void serving(boolean serves) {
        serving = serves;
    }

    /**
     * The change of that plan could not be brought to serve, or not for long, and this balancer
     * runs what was before: the plan ends for all. One that was done is not undone by one machine's
     * trouble.
     */
    public void failed(long now, String key, String reason) {
        becoming = becoming.equals(key) ? "" : becoming;
        runs = runs.equals(key) ? "" : runs;
        if (course == null || !course.plan.key().equals(key) || course.done()) {
            report.accept("gave up a change by itself: " + reason);
            return;
        }
        HaltFlags.raise(shared, now, key, shared.self() + " " + reason);
    }

    /**
     * Under what to count; null while no plan is under way, and after the last stage has passed.
     */
    public Counting counting() {
        if (course == null || course.done()) {
            return null;
        }
        return new Counting(
                course.plan,
                switch (phase()) {
                    case OLD -> Counts.OLD;
                    case NEW -> Counts.NEW;
                    case BETWEEN -> Counts.OLD | Counts.NEW;
                });
    }

    /** What to count for, and the program that serves at present, as {@link Counts} has it. */
    public record Counting(Plan plan, long program) {}

    /** Number of the last plan that was done, to be kept over a restart. */
    public long finished() {
        return plans.finished();
    }

    /** One line for operators. */
    public String state() {
        return course == null ? "no plan" : course.plan.title() + ": " + course.state();
    }

    /** The stage that is open; 0 before the first, and where no plan is under way. */
    public int stage() {
        return course == null ? 0 : Math.min(course.opened(), course.plan.last());
    }
}
