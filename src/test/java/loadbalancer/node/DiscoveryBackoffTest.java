package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DiscoveryBackoffTest {
    private static final SplittableRandom RANDOM = new SplittableRandom(22);

    /** Checks the inequality of {@link DiscoveryTimes} for random pauses after 0 to 7 failures. */
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
    void silencePauseConnectAndResponseFitIntoTheNotificationTime(long quietMillis) {
        for (int round = 0; round < 300; round++) {
            DiscoveryBackoff backoff = new DiscoveryBackoff();
            for (int failures = 0; failures < 8; failures++) {
                long pause = backoff.nextMillis(quietMillis, RANDOM);
                long sum =
                        quietMillis
                                + pause
                                + DiscoveryTimes.CONNECT_MILLIS
                                + DiscoveryTimes.RESPONSE_MILLIS
                                + DiscoveryTimes.LAG_MILLIS;
                assertTrue(
                        sum <= DiscoveryTimes.NOTIFICATION_MILLIS,
                        quietMillis + " ms of silence, then a pause of " + pause);
            }
        }
    }

    /**
     * The mean pause must not shrink from one failure to the next, and the longest of 1,000 pauses
     * must be at least twice the shortest.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, DiscoveryTimes.SILENCE_MILLIS, DiscoveryTimes.RESPONSE_MILLIS})
    void pausesGrowUpToTheLimitAndAreSpread(long quietMillis) {
        long lastMean = 0;
        for (int failures = 0; failures < 8; failures++) {
            long shortest = Long.MAX_VALUE;
            long longest = 0;
            long sum = 0;
            for (int i = 0; i < 1_000; i++) {
                DiscoveryBackoff backoff = new DiscoveryBackoff();
                for (int f = 0; f < failures; f++) {
                    backoff.nextMillis(quietMillis, RANDOM);
                }
                long pause = backoff.nextMillis(quietMillis, RANDOM);
                shortest = Math.min(shortest, pause);
                longest = Math.max(longest, pause);
                sum += pause;
            }
            assertTrue(
                    longest >= 2 * shortest && shortest > 0,
                    shortest + " ms is the shortest pause, and the longest is " + longest);
            assertTrue(longest <= 1_500, "longest pause: " + longest);
            assertTrue(
                    sum / 1_000 >= 0.9 * lastMean,
                    "mean pause shrinks after " + failures + " failures");
            lastMean = sum / 1_000;
        }
        assertTrue(quietMillis > 0 || lastMean >= 900, "last mean pause: " + lastMean);
    }
}
