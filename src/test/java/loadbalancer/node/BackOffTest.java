package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BackOffTest {
    private static final SplittableRandom RANDOM = new SplittableRandom(22);

    /** The inequality beside the constants, with whatever pauses are drawn, at any growth. */
    @ParameterizedTest
    @ValueSource(
            longs = {
                0,
                DiscoveryTimes.CONNECT_MILLIS,
                1_000,
                2_000,
                DiscoveryTimes.SILENCE_MILLIS,
                DiscoveryTimes.RESPONSE_MILLIS
            })
    void noticePauseDialAndAnswerFitTheTimeInWhichAChangeIsTold(long quiet) {
        for (int round = 0; round < 300; round++) {
            DiscoveryBackoff backOff = new DiscoveryBackoff();
            for (int failures = 0; failures < 8; failures++) {
                long pause = backOff.next(quiet, RANDOM);
                long sum =
                        quiet
                                + pause
                                + DiscoveryTimes.CONNECT_MILLIS
                                + DiscoveryTimes.RESPONSE_MILLIS
                                + DiscoveryTimes.LAG_MILLIS;
                assertTrue(
                        sum <= DiscoveryTimes.NOTIFICATION_MILLIS,
                        quiet + " ms, then a pause of " + pause);
            }
        }
    }

    /** A mean that grows, and of each two draws hardly any the same. */
    @ParameterizedTest
    @ValueSource(longs = {0, DiscoveryTimes.SILENCE_MILLIS, DiscoveryTimes.RESPONSE_MILLIS})
    void pausesGrowToACapAndAreSpread(long quiet) {
        long last = 0;
        for (int failures = 0; failures < 8; failures++) {
            long least = Long.MAX_VALUE;
            long most = 0;
            long sum = 0;
            for (int i = 0; i < 1_000; i++) {
                DiscoveryBackoff backOff = new DiscoveryBackoff();
                for (int f = 0; f < failures; f++) {
                    backOff.next(quiet, RANDOM);
                }
                long pause = backOff.next(quiet, RANDOM);
                least = Math.min(least, pause);
                most = Math.max(most, pause);
                sum += pause;
            }
            assertTrue(most >= 2 * least && least > 0, least + " to " + most);
            assertTrue(most <= 1_500, "capped: " + most);
            assertTrue(sum / 1_000 >= 0.9 * last, "shorter after " + failures + " failures");
            last = sum / 1_000;
        }
        assertTrue(quiet > 0 || last >= 900, "grown to " + last);
    }
}
