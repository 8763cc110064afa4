package loadbalancer;

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
 * The module and the four rules under the settings of any customer. More of them are played by
 * {@code -Djqwik.tries.default=100000}.
 */
class DrawnSettingsTest {
    @Provide
    Arbitrary<DrawnPlay.Case> cases() {
        Arbitrary<DrawnPlay.Step> step =
                Combinators.combine(
                                Arbitraries.integers().between(0, 99),
                                Arbitraries.integers().between(0, 20_000))
                        .as(DrawnPlay.Step::new);
        return Combinators.combine(
                        DrawnSettings.any().list().ofMinSize(1).ofMaxSize(3),
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
                .as(DrawnPlay.Case::new);
    }

    @Property(seed = "22", edgeCases = EdgeCasesMode.NONE)
    void anySettingsKeepTheRules(@ForAll("cases") DrawnPlay.Case drawn) {
        DrawnPlay play = new DrawnPlay(drawn);
        assertEquals(List.of(), play.breaches());
        Statistics.label("attempts")
                .collect(play.sent == 0 ? "none" : play.sent < 20 ? "some" : "many");
    }

    /** The play itself has to be the same each time, or nothing found here could be found again. */
    @Property(tries = 5, seed = "3", edgeCases = EdgeCasesMode.NONE)
    void theSameHistoryGoesTheSameWay(@ForAll("cases") DrawnPlay.Case drawn) {
        DrawnPlay one = new DrawnPlay(drawn);
        DrawnPlay two = new DrawnPlay(drawn);
        assertEquals(one.breaches(), two.breaches());
        assertEquals(one.sent, two.sent);
    }
}
