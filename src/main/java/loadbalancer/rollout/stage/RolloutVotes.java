package loadbalancer.rollout.stage;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.stage.RolloutStatement.Phase;

/**
 * Reads the fleet's statements on one plan and counts their votes, one per eligible voter of the
 * roster. Called from the fleet's thread; times are microseconds of the monotonic clock.
 */
final class RolloutVotes {
    /** A cached decoding result, empty if invalid; most documents do not change. */
    private record Decoded(byte[] body, Optional<RolloutStatement> statement) {}

    private final SharedState shared;
    private final String planKey;
    private Map<String, Decoded> decodedByMember = Map.of();
    private final Map<String, RolloutStatement> statements = new TreeMap<>();

    RolloutVotes(SharedState shared, String planKey) {
        this.shared = shared;
        this.planKey = planKey;
    }

    /** Reads the present statements. */
    RolloutVotes refresh(long nowMicros) {
        Map<String, Decoded> next = new HashMap<>();
        statements.clear();
        Map<String, Document> documents =
                shared.documents(nowMicros, RolloutTopics.statements(planKey));
        // The key is the publishing member, so that each member has one vote.
        for (var entry : documents.entrySet()) {
            String member = entry.getKey();
            if (shared.roster().contains(member) && shared.isEligibleVoter(member)) {
                Decoded decoded = decode(member, entry.getValue());
                next.put(member, decoded);
                decoded.statement.ifPresent(statement -> statements.put(member, statement));
            }
        }
        decodedByMember = next;
        return this;
    }

    private Decoded decode(String member, Document document) {
        Decoded last = decodedByMember.get(member);
        return last != null && last.body == document.body()
                ? last
                : new Decoded(document.body(), RolloutStatement.decode(document.body()));
    }

    /** Returns a member's statement. */
    Optional<RolloutStatement> of(String member) {
        return Optional.ofNullable(statements.get(member));
    }

    int count(Predicate<RolloutStatement> condition) {
        return (int) statements.values().stream().filter(condition).count();
    }

    private boolean hasMajority(Predicate<RolloutStatement> condition) {
        return count(condition) >= shared.majority();
    }

    /**
     * Returns the open stage, before which all stages have passed by the verdict of a majority. The
     * result is {@code stageCount} plus one if the rollout is complete.
     */
    int openStage(int stageCount) {
        int stage = 0;
        while (stage <= stageCount && hasMajority(hasPassed(stage))) {
            stage++;
        }
        return stage;
    }

    private static Predicate<RolloutStatement> hasPassed(int stage) {
        return statement -> statement.passedStages() > stage;
    }

    /** Returns whether a majority grants a request, counting voters for whom the stage is open. */
    boolean isGranted(String member, long requestId, int stage) {
        return requestId != 0
                && hasMajority(
                        statement ->
                                statement.passedStages() >= stage
                                        && statement.grants().getOrDefault(member, 0L)
                                                == requestId);
    }

    /** Returns whether a member is present and its balancer serves. */
    boolean isServing(String member) {
        RolloutStatement statement = statements.get(member);
        return statement != null
                && statement.isServing()
                && statement.phase() != Phase.CHANGING
                && shared.isPresent(member);
    }

    /** Returns whether a member has changed and serves. */
    boolean hasChanged(String member) {
        RolloutStatement statement = statements.get(member);
        return statement != null && statement.isServing() && statement.phase() == Phase.CANARY;
    }
}
