package loadbalancer.lab.baseline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointState;
import loadbalancer.RequestDescriptor;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** The rules of the yardsticks by themselves. */
class YardstickTest {
    private static final RequestDescriptor REQUEST =
            new RequestDescriptor("r", 0, 0, null, 0, 1_000_000, false, false);
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);

    private static List<Candidate> candidates(double... ratings) {
        List<Candidate> all = new ArrayList<>();
        for (int i = 0; i < ratings.length; i++) {
            all.add(
                    new Candidate(
                            new EndpointDescriptor(
                                    "u" + i, 0, 0, 0, EndpointState.READY, ratings[i], 0)));
        }
        return all;
    }

    private Map<String, Integer> picks(Pick pick, List<Candidate> among, int times) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int i = 0; i < times; i++) {
            counts.merge(pick.pick(i, REQUEST, among, random).id(), 1, Integer::sum);
        }
        return counts;
    }

    @Test
    void leastRequestPicksInProportionToWeightOverInFlight() {
        List<Candidate> among = candidates(1, 2, 3);
        among.get(2).inFlight = 5; // 1, 2 and 3 / 6: shares 2/7, 4/7 and 1/7
        Map<String, Integer> counts = picks(Picks.leastRequest(), among, 70_000);
        assertEquals(20_000, counts.get("u0"), 600);
        assertEquals(40_000, counts.get("u1"), 600);
        assertEquals(10_000, counts.get("u2"), 600);
    }

    /**
     * Of two different random ones: the busiest is never picked, the least busy two times in three.
     */
    @Test
    void twoChoicesTakesTheShorterLine() {
        List<Candidate> among = candidates(1, 1, 1);
        among.get(1).inFlight = 1;
        among.get(2).inFlight = 2;
        Map<String, Integer> counts = picks(Picks.twoChoices(), among, 30_000);
        assertEquals(20_000, counts.get("u0"), 500);
        assertEquals(10_000, counts.get("u1"), 500);
        assertEquals(null, counts.get("u2"));
    }

    @Test
    void roundRobinTakesAllInTurn() {
        assertEquals(
                Map.of("u0", 10, "u1", 10, "u2", 10),
                picks(Picks.roundRobin(), candidates(1, 1, 1), 30));
    }

    @Test
    void peakEwmaJumpsUpAtOnceAndForgetsSlowly() {
        Pick pick = Picks.peakEwma();
        List<Candidate> among = candidates(1, 1);
        for (int i = 0; i < 20; i++) {
            pick.served(0, among.get(0), 10_000);
            pick.served(0, among.get(1), 10_000);
        }
        pick.served(1, among.get(0), 100_000);
        assertEquals(null, picks(pick, among, 200).get("u0"), "one slow answer is enough");
        assertEquals(100_000, among.get(0).cost, 10);
        pick.served(10_000_001, among.get(0), 10_000);
        assertEquals(10_000 + 90_000 / Math.E, among.get(0).cost, 10, "after one time constant");
    }

    @Test
    void theAllSeeingSendsWhereItEndsFirstAndNothingThatCantBeServed() {
        Map<String, Double> times = new TreeMap<>(Map.of("u0", 5e5, "u1", 4e5, "u2", 9e5));
        TrueServerState truth =
                new TrueServerState() {
                    @Override
                    public double timeToServe(String server, double work) {
                        return times.get(server);
                    }

                    @Override
                    public double workOf(String request) {
                        return 1;
                    }
                };
        Pick pick = Picks.allSeeing(truth);
        assertEquals(Map.of("u1", 5), picks(pick, candidates(1, 1, 1), 5));
        times.replaceAll((k, v) -> 2e6);
        assertTrue(pick.pick(0, REQUEST, candidates(1, 1, 1), random) == null);
    }
}
