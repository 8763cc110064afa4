package loadbalancer.rollout.stage;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.plan.InvalidPlanException;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.PlanFile;

/** Which plan holds. Each member says one plan at most, and follows the lowest that is not over. */
final class Plans {
    static final String TOPIC = "rollout/plan";

    /**
     * So many members say the text of a plan, so that it outlives any one of them; not all need to.
     */
    private static final int KEEPERS = 3;

    /** Texts that are remembered, good and bad: nobody's stream of plans may grow without end. */
    private static final int REMEMBERED = 16;

    private final SharedState shared;
    private final RandomGenerator random;
    private final Consumer<String> report;
    private final Map<String, Plan> read =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Plan> eldest) {
                    return size() > REMEMBERED;
                }
            };
    private final Map<String, Votes> votes = new HashMap<>();

    /** Of those that are known, which it has said to be halted. */
    private final Set<String> halted = new HashSet<>();

    private final Set<Plan> known = new TreeSet<>();
    private Plan current;
    private long finished;

    Plans(SharedState shared, RandomGenerator random, long finished, Consumer<String> report) {
        this.shared = shared;
        this.random = random;
        this.finished = finished;
        this.report = report;
    }

    /** A plan from an operator. */
    void give(long now, String text) throws InvalidPlanException {
        Plan plan = PlanFile.read(text);
        if (!plan.zones().keySet().equals(shared.roster())) {
            throw new InvalidPlanException("zones", "names another fleet than the operator's file");
        }
        if (current != null && !current.equals(plan) && current.number() > finished) {
            throw new InvalidPlanException("plan", current.title() + " is under way");
        }
        if (plan.number() <= finished) {
            throw new InvalidPlanException(
                    "number", "expected more than that of the last one, " + finished);
        }
        if (HaltFlags.up(shared, plan.key())) {
            throw new InvalidPlanException("plan", "was halted; begin anew with a higher number");
        }
        shared.publish(now, TOPIC, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Looks at what is said; null if no plan is under way. */
    Plan choose(long now) {
        Map<String, Document> said = shared.documents(now, TOPIC);
        known.clear();
        said.forEach(
                (name, document) -> {
                    Plan plan = shared.isEligibleVoter(name) ? plan(document.body()) : null;
                    if (plan != null) {
                        known.add(plan);
                    }
                });
        if (current != null) {
            known.add(current);
        }
        halted.retainAll(known.stream().map(Plan::key).toList());
        known.removeIf(this::halted);
        votes.keySet().retainAll(known.stream().map(Plan::key).toList());
        Plan done = known.stream().filter(p -> isDone(now, p)).reduce(null, (a, b) -> b);
        finished = Math.max(finished, done == null ? 0 : done.number());
        known.removeIf(p -> p.number() <= finished);
        // Where nothing else is under way, those that were away still follow the last one that was
        // done.
        current = known.stream().findFirst().orElse(done);
        if (current != null) {
            keep(now, said);
        }
        return current;
    }

    private boolean halted(Plan plan) {
        boolean up = HaltFlags.up(shared, plan.key());
        if (up && halted.add(plan.key())) {
            report.accept(plan.title() + " is halted by " + HaltFlags.reason(shared, plan.key()));
        }
        return up;
    }

    private boolean isDone(long now, Plan plan) {
        return votes.computeIfAbsent(plan.key(), k -> new Votes(shared, k))
                        .look(now)
                        .opened(plan.last())
                > plan.last();
    }

    /** Those that are known and neither over nor current. */
    Iterable<Plan> others() {
        return known.stream().filter(p -> !p.equals(current)).toList();
    }

    /** Number of the last plan that was done. */
    long finished() {
        return finished;
    }

    private void keep(long now, Map<String, Document> said) {
        byte[] text = current.text().getBytes(StandardCharsets.UTF_8);
        Document own = said.get(shared.self());
        if (own != null && Arrays.equals(own.body(), text)) {
            return;
        }
        long keepers =
                said.values().stream()
                        .filter(d -> shared.isAlive(d.member()) && Arrays.equals(d.body(), text))
                        .count();
        if (own != null
                && known.stream()
                        .anyMatch(
                                p ->
                                        Arrays.equals(
                                                own.body(),
                                                p.text().getBytes(StandardCharsets.UTF_8)))) {
            return; // it says one that has to be halted first, or nobody would hear of it
        }
        // One that says a plan which is over turns to this one; of the rest each offers itself by
        // chance.
        if (own != null || keepers < KEEPERS && random.nextInt(shared.roster().size()) < KEEPERS) {
            shared.publish(now, TOPIC, text);
        }
    }

    private Plan plan(byte[] body) {
        if (body.length > PlanFile.LONGEST) {
            return null;
        }
        String text = new String(body, StandardCharsets.UTF_8);
        if (!read.containsKey(text)) {
            read.put(text, fresh(text));
        }
        return read.get(text);
    }

    private Plan fresh(String text) {
        try {
            Plan plan = PlanFile.read(text);
            if (plan.zones().keySet().equals(shared.roster())) {
                return plan;
            }
            report.accept(
                    "passes over "
                            + plan.title()
                            + ": it names another fleet than the operator's file");
        } catch (InvalidPlanException e) {
            report.accept("passes over a plan: " + e.getMessage());
        }
        return null;
    }
}
