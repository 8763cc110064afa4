package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.statistics.Statistics;

/**
 * Property test of the four rules of the service under any valid settings. {@code
 * -Djqwik.tries.default=100000} runs more histories.
 */
class PolicyPropertyTest {
    @Provide
    Arbitrary<RandomHistory.Case> cases() {
        Arbitrary<RandomHistory.Step> step =
                Combinators.combine(
                                Arbitraries.integers().between(0, 99),
                                Arbitraries.integers().between(0, 20_000))
                        .as(RandomHistory.Step::new);
        return Combinators.combine(
                        ArbitrarySettings.any().list().ofMinSize(1).ofMaxSize(3),
                        Arbitraries.oneOf(
                                Arbitraries.integers().between(0, 6),
                                Arbitraries.integers()
                                        .between(0, 40)
                                        .withDistribution(RandomDistribution.uniform())),
                        Arbitraries.of(false, true),
                        Arbitraries.of(false, false, true),
                        Arbitraries.longs(),
                        step.list()
                                .ofMinSize(1)
                                .ofMaxSize(400)
                                .withSizeDistribution(RandomDistribution.uniform()))
                .as(RandomHistory.Case::new);
    }

    @Property(seed = "22", edgeCases = EdgeCasesMode.NONE)
    void policyKeepsTheRulesUnderAnySettings(@ForAll("cases") RandomHistory.Case testCase) {
        RandomHistory history = new RandomHistory(testCase);
        assertEquals(List.of(), history.breaches());
        Statistics.label("attempts")
                .collect(
                        history.attemptsSent == 0
                                ? "none"
                                : history.attemptsSent < 20 ? "some" : "many");
    }

    /** A history must be reproducible from its inputs. */
    @Property(tries = 5, seed = "3", edgeCases = EdgeCasesMode.NONE)
    void sameInputsLeadToTheSameHistory(@ForAll("cases") RandomHistory.Case testCase) {
        RandomHistory first = new RandomHistory(testCase);
        RandomHistory second = new RandomHistory(testCase);
        assertEquals(first.breaches(), second.breaches());
        assertEquals(first.attemptsSent, second.attemptsSent);
    }
}
