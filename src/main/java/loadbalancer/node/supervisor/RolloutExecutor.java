package loadbalancer.node.supervisor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.plan.Digests;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.PlannedChange;
import loadbalancer.rollout.stage.RolloutAction;
import loadbalancer.rollout.stage.RolloutController;

/** Between the rollout's decisions and the processes, with what must outlive the parent. */
final class RolloutExecutor {
    /**
     * What is kept in the state folder.
     *
     * @param key of the plan whose change runs, empty for none
     * @param runs what is wanted
     * @param before what ran before that change
     * @param finished number of the last plan that was done
     */
    record SavedState(String key, Variant runs, Variant before, long finished) {
        private static final String NAME = "runs";

        static SavedState read(Path folder, Variant base) throws IOException {
            if (!Files.exists(folder.resolve(NAME))) {
                return new SavedState("", base, base, 0);
            }
            String[] t = Files.readString(folder.resolve(NAME)).split("\n", -1);
            try {
                return new SavedState(
                        t[0],
                        new Variant(t[1], t[2]),
                        new Variant(t[3], t[4]),
                        Long.parseLong(t[5]));
            } catch (ArrayIndexOutOfBoundsException | NumberFormatException e) {
                throw new IOException(
                        folder.resolve(NAME)
                                + " is not understood; remove it to begin with "
                                + base);
            }
        }

        void write(Path folder) throws IOException {
            Record.replace(
                    folder,
                    NAME,
                    String.join(
                            "\n",
                            key,
                            runs.program(),
                            runs.operator(),
                            before.program(),
                            before.operator(),
                            Long.toString(finished),
                            ""));
        }
    }

    private final SupervisorFile file;
    private final ProcessSupervisor supervisor;
    private final Consumer<String> report;
    private RolloutController rollout;
    private SavedState saved;
    private Plan begun;
    private Variant serving;

    RolloutExecutor(
            SupervisorFile file,
            SavedState saved,
            ProcessSupervisor supervisor,
            Consumer<String> report) {
        this.file = file;
        this.saved = saved;
        this.supervisor = supervisor;
        this.report = report;
    }

    /** Joined to a fleet; without one, nothing ever changes. */
    RolloutController rollout(SharedState shared, RandomGenerator random) {
        rollout = new RolloutController(shared, random, saved.key(), saved.finished(), report);
        return rollout;
    }

    /** Does what the rollout decides. */
    void step(long now, long window) throws IOException {
        if (rollout == null) {
            return;
        }
        for (RolloutAction action : rollout.step(now, window)) {
            if (action instanceof RolloutAction.VerifyDigest check) {
                rollout.onDigestComputed(check.plan().key(), digest(check.plan().change()));
            } else if (action instanceof RolloutAction.StartChange begin) {
                begin(now, begin.plan());
            } else if (action instanceof RolloutAction.RollBack back) {
                report.accept("goes back to " + saved.before() + ": " + back.reason());
                goBack(back.planKey());
            }
        }
        if (rollout.lastCompletedNumber() > saved.finished()) {
            save(
                    new SavedState(
                            saved.key(),
                            saved.runs(),
                            saved.before(),
                            rollout.lastCompletedNumber()));
        }
    }

    private void begin(long now, Plan plan) throws IOException {
        // Counted anew: much may have happened to the folder since it was checked.
        if (!plan.change().digest().equals(digest(plan.change()))) {
            rollout.onDigestComputed(plan.key(), "");
            rollout.onChangeFailed(now, plan.key(), "finds another digest than the plan's");
            return;
        }
        Variant next = changed(plan.change());
        report.accept("changes to " + next + " by " + plan.title());
        if (next.equals(saved.runs())) {
            save(new SavedState(plan.key(), next, next, saved.finished()));
            rollout.onRunning(plan.key());
            return;
        }
        begun = plan;
        supervisor.want(next, saved.runs());
    }

    private void goBack(String key) throws IOException {
        Variant to = key.equals(saved.key()) ? saved.before() : saved.runs();
        begun = null;
        supervisor.want(
                to, null); // there is nothing to go back to from here: it is tried until it serves
        if (key.equals(saved.key())) {
            save(new SavedState("", to, to, saved.finished()));
        }
        if (to.equals(serving)) {
            rollout.onRunning(saved.key());
        }
    }

    /** That serves now. */
    void became(Variant variant) throws IOException {
        serving = variant;
        if (begun != null && variant.equals(changed(begun.change()))) {
            save(new SavedState(begun.key(), variant, saved.runs(), saved.finished()));
            begun = null;
        }
        if (rollout != null && variant.equals(saved.runs())) {
            rollout.onRunning(saved.key());
        }
    }

    /** That could not be brought to serve, or not for long. */
    void failed(long now, Variant variant, String reason) throws IOException {
        report.accept(reason + "; goes back to " + supervisor.wanted());
        if (begun != null && variant.equals(changed(begun.change()))) {
            String key = begun.key();
            begun = null;
            rollout.onChangeFailed(now, key, reason);
        } else if (!saved.key().isEmpty() && variant.equals(saved.runs())) {
            String key = saved.key();
            save(new SavedState("", saved.before(), saved.before(), saved.finished()));
            if (rollout != null) {
                rollout.onChangeFailed(now, key, reason);
            }
        }
    }

    private void save(SavedState next) throws IOException {
        saved = next;
        saved.write(file.state());
    }

    private Variant changed(PlannedChange change) {
        return change.kind() == PlannedChange.Kind.PROGRAM
                ? new Variant(change.name(), saved.runs().operator())
                : new Variant(saved.runs().program(), change.name());
    }

    private String digest(PlannedChange change) {
        Path root =
                change.kind() == PlannedChange.Kind.PROGRAM ? file.programs() : file.operators();
        try {
            return Digests.ofPath(root.resolve(change.name()));
        } catch (IOException e) {
            report.accept("can't read " + root.resolve(change.name()) + ": " + e.getMessage());
            return "";
        }
    }
}
