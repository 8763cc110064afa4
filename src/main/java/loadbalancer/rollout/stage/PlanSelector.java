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
 * Selects the current plan, which is the lowest plan that is neither halted nor complete. Each
 * member replicates at most one plan. Called from the fleet's thread; times are microseconds of the
 * monotonic clock.
 */
final class PlanSelector {
    /** Number of members that replicate a plan, so that it survives the loss of any one. */
    private static final int REPLICAS = 3;

    private final SharedState shared;
    private final RandomGenerator random;
    private final Consumer<String> log;
    private final ReceivedPlans received;
    private final Map<String, RolloutVotes> votesByPlan = new HashMap<>();

    /** Keys of the plans whose halt has been logged. */
    private final Set<String> loggedHalts = new HashSet<>();

    private final Set<Plan> open = new TreeSet<>();

    /** The current plan; null if no plan is in progress or complete. */
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
     * Publishes a plan submitted by an operator.
     *
     * @throws InvalidPlanException if the plan is invalid or conflicts with another plan
     */
    void submit(long nowMicros, String text) throws InvalidPlanException {
        Plan plan = PlanFile.parse(text);
        if (!plan.zoneByMember().keySet().equals(shared.roster())) {
            throw new InvalidPlanException(
                    "zones", "the members differ from those in the operator's file");
        }
        if (current != null && !current.equals(plan) && current.number() > lastCompletedNumber) {
            throw new InvalidPlanException("plan", current.title() + " is in progress");
        }
        if (plan.number() <= lastCompletedNumber) {
            throw new InvalidPlanException(
                    "number",
                    "expected more than that of the last complete plan, " + lastCompletedNumber);
        }
        if (HaltFlags.isRaised(shared, plan.key())) {
            throw new InvalidPlanException(
                    "plan", "was halted; submit the plan again with a higher number");
        }
        shared.publish(nowMicros, RolloutTopics.PLAN, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads the replicated plans and returns the current one. */
    Optional<Plan> select(long nowMicros) {
        Map<String, Document> replicated = shared.documents(nowMicros, RolloutTopics.PLAN);
        findOpenPlans(replicated);
        Optional<Plan> complete =
                open.stream()
                        .filter(plan -> isComplete(nowMicros, plan))
                        .reduce((first, second) -> second);
        lastCompletedNumber = Math.max(lastCompletedNumber, complete.map(Plan::number).orElse(0L));
        open.removeIf(plan -> plan.number() <= lastCompletedNumber);
        // If no plan is in progress, members that were down still follow the last complete plan.
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
            log.accept(
                    plan.title() + " is halted by member " + HaltFlags.reason(shared, plan.key()));
        }
        return isHalted;
    }

    private boolean isComplete(long nowMicros, Plan plan) {
        RolloutVotes votes =
                votesByPlan.computeIfAbsent(plan.key(), key -> new RolloutVotes(shared, key));
        return votes.refresh(nowMicros).openStage(plan.stageCount()) > plan.stageCount();
    }

    /** Returns the plans that are neither halted nor complete nor current. */
    Iterable<Plan> others() {
        return open.stream().filter(plan -> !plan.equals(current)).toList();
    }

    /** Returns the number of the last complete plan, or 0 if there is none. */
    long lastCompletedNumber() {
        return lastCompletedNumber;
    }

    /** Replicates the current plan if this member should. */
    private void replicate(long nowMicros, Map<String, Document> replicated) {
        byte[] text = bytes(current);
        Document own = replicated.get(shared.self());
        if (own != null && (Arrays.equals(own.body(), text) || isOpen(own.body()))) {
            return; // this other open plan stays published until all members know that it is halted
        }
        long replicas =
                replicated.values().stream()
                        .filter(
                                document ->
                                        shared.isPresent(document.member())
                                                && Arrays.equals(document.body(), text))
                        .count();
        // A member that replicates an old plan replaces it; other members volunteer at random.
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
