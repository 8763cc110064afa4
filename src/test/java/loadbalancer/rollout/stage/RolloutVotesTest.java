package loadbalancer.rollout.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Random;
import loadbalancer.rollout.stage.RolloutStatement.DigestCheck;
import loadbalancer.rollout.stage.RolloutStatement.Phase;
import org.junit.jupiter.api.Test;

class RolloutVotesTest {
    private static final int STAGES = 3;

    private final SimulatedNetwork network =
            new SimulatedNetwork(List.of("a", "b", "c", "d"), new Random(9));

    private void gossip(int fromSecond, int toSecond) {
        for (int second = fromSecond; second < toSecond; second++) {
            network.step(second * 1_000_000L);
        }
    }

    private int openStageAtA() {
        return new RolloutVotes(network.nodes.get("a"), "k").refresh(0).openStage(STAGES);
    }

    /** Repeated statements of one member must not turn half of the fleet into a majority. */
    @Test
    void countsEachEligibleVoterOnce() {
        byte[] passed =
                new RolloutStatement(1, Phase.BASELINE, true, DigestCheck.MATCHES, 0, Map.of())
                        .encode();
        for (String name : List.of("a", "b", "b", "b")) {
            network.nodes.get(name).publish(0, RolloutTopics.statements("k"), passed);
        }
        gossip(0, 60);
        assertEquals(0, openStageAtA());
        network.nodes.get("c").publish(0, RolloutTopics.statements("k"), passed);
        gossip(60, 120);
        assertEquals(1, openStageAtA());
        network.contestedNames.add("b");
        assertEquals(0, openStageAtA());
    }
}
