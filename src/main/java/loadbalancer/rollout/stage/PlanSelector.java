package loadbalancer.rollout.stage;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.plan.InvalidPlanException;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.PlanFile;

/**
 * Which plan is current. Each member replicates one plan at most; the lowest one that is neither
 * halted nor complete is current. Called from the fleet's thread; times are microseconds of the
 * monotonic clock.
 */
final class PlanSelector {
    /** Members that replicate the text of a plan, so that it outlives any one of them. */
    private static final int REPLICAS = 3;

    private final SharedState shared;
    private final RandomGenerator random;
    private final Consumer<String> log;
    private final ReceivedPlans received;
    private final Map<String, RolloutVotes> votesByPlan = new HashMap<>();

    /** Keys of known plans that were logged as halted. */
    private final Set<String> loggedHalts = new HashSet<>();

    private final Set<Plan> open = new TreeSet<>();

    /** Null if no plan is in progress or complete. */
    private Plan current;

    private long lastCompletedNumber;

    PlanSelector(
            SharedState shared,
            RandomGenerator random,
            long lastCompletedNumber,
            Consumer<String> log) {
        this.shared = shared;
        this.random = random;
        this.lastCompletedNumber = lastCompletedNumber;
        this.log = log;
        this.received = new ReceivedPlans(shared, log);
    }

    /**
     * Takes a plan from an operator.
     *
     * @throws InvalidPlanException if it can't be used, or not now
     */
    void submit(long nowMicros, String text) throws InvalidPlanException {
        Plan plan = PlanFile.parse(text);
        if (!plan.zoneByMember().keySet().equals(shared.roster())) {
            throw new InvalidPlanException("zones", "names another fleet than the operator's file");
        }
        if (current != null && !current.equals(plan) && current.number() > lastCompletedNumber) {
            throw new InvalidPlanException("plan", current.title() + " is in progress");
        }
        if (plan.number() <= lastCompletedNumber) {
            throw new InvalidPlanException(
                    "number", "expected more than that of the last one, " + lastCompletedNumber);
        }
        if (HaltFlags.isRaised(shared, plan.key())) {
            throw new InvalidPlanException("plan", "was halted; submit it with a higher number");
        }
        shared.publish(nowMicros, RolloutTopics.PLAN, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads the replicated plans; returns the current one. */
    Optional<Plan> select(long nowMicros) {
        Map<String, Document> replicated = shared.documents(nowMicros, RolloutTopics.PLAN);
        findOpenPlans(replicated);
        Optional<Plan> complete =
                open.stream()
                        .filter(plan -> isComplete(nowMicros, plan))
                        .reduce((first, second) -> second);
        lastCompletedNumber = Math.max(lastCompletedNumber, complete.map(Plan::number).orElse(0L));
        open.removeIf(plan -> plan.number() <= lastCompletedNumber);
        // If none is in progress, members that were down still follow the last complete one.
        current = open.stream().findFirst().or(() -> complete).orElse(null);
        if (current != null) {
            replicate(nowMicros, replicated);
        }
        return Optional.ofNullable(current);
    }

    private void findOpenPlans(Map<String, Document> replicated) {
        open.clear();
        replicated.forEach(
                (member, document) -> {
                    if (shared.isEligibleVoter(member)) {
                        received.parse(document.body()).ifPresent(open::add);
                    }
                });
        if (current != null) {
            open.add(current);
        }
        loggedHalts.retainAll(open.stream().map(Plan::key).toList());
        open.removeIf(this::isHalted);
        votesByPlan.keySet().retainAll(open.stream().map(Plan::key).toList());
    }

    private boolean isHalted(Plan plan) {
        boolean isHalted = HaltFlags.isRaised(shared, plan.key());
        if (isHalted && loggedHalts.add(plan.key())) {
            log.accept(plan.title() + " is halted by " + HaltFlags.reason(shared, plan.key()));
        }
        return isHalted;
    }

    private boolean isComplete(long nowMicros, Plan plan) {
        RolloutVotes votes =
                votesByPlan.computeIfAbsent(plan.key(), key -> new RolloutVotes(shared, key));
        return votes.refresh(nowMicros).openStage(plan.stageCount()) > plan.stageCount();
    }

    /** Plans that are neither halted nor complete nor current. */
    Iterable<Plan> others() {
        return open.stream().filter(plan -> !plan.equals(current)).toList();
    }

    /** Number of the last complete plan, 0 for none. */
    long lastCompletedNumber() {
        return lastCompletedNumber;
    }

    /** Has the current plan replicated by a few members. */
    private void replicate(long nowMicros, Map<String, Document> replicated) {
        byte[] text = bytes(current);
        Document own = replicated.get(shared.self());
        if (own != null && (Arrays.equals(own.body(), text) || isOpen(own.body()))) {
            return; // an open plan that is not current must first be halted, which others must see
        }
        long replicas =
                replicated.values().stream()
                        .filter(
                                document ->
                                        shared.isPresent(document.member())
                                                && Arrays.equals(document.body(), text))
                        .count();
        // A member that replicates an old plan takes this one; others volunteer at random.
        if (own != null
                || replicas < REPLICAS && random.nextInt(shared.roster().size()) < REPLICAS) {
            shared.publish(nowMicros, RolloutTopics.PLAN, text);
        }
    }

    private boolean isOpen(byte[] text) {
        return open.stream().anyMatch(plan -> Arrays.equals(text, bytes(plan)));
    }

    private static byte[] bytes(Plan plan) {
        return plan.text().getBytes(StandardCharsets.UTF_8);
    }
}
