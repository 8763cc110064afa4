package loadbalancer.control.subscribe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

class RetryTest {
    private static final int SUBSCRIBERS = 860;
    private static final int SERVERS = 4;

    /** Always returns the largest possible value, so that delays have their maximum. */
    private static final RandomGenerator MAXIMUM =
            new RandomGenerator() {
                @Override
                public long nextLong() {
                    throw new UnsupportedOperationException();
                }

                @Override
                public long nextLong(long bound) {
                    return bound - 1;
                }
            };

    @Test
    void doublesTheBoundUpToTheMaximumAndResetsIt() {
        RetryBackoff backoff = new RetryBackoff(100, 500, MAXIMUM);
        assertEquals(100, backoff.nextDelayMillis(0));
        assertEquals(200, backoff.nextDelayMillis(0));
        assertEquals(400, backoff.nextDelayMillis(0));
        assertEquals(500, backoff.nextDelayMillis(0));
        assertEquals(500, backoff.nextDelayMillis(0));
        backoff.reset();
        assertEquals(100, backoff.nextDelayMillis(0));
    }

    @Test
    void addsJitterToRetryAfterUpToTheMaximum() {
        RetryBackoff backoff = new RetryBackoff(100, 100, MAXIMUM);
        assertEquals(3_100, backoff.nextDelayMillis(3_000));
        assertEquals(100, backoff.nextDelayMillis(-5));
        assertEquals(
                RetryBackoff.MAX_RETRY_AFTER_MILLIS + 100, backoff.nextDelayMillis(Long.MAX_VALUE));
    }

    @Test
    void drawsJitterUniformlyFromZeroToTheBound() {
        Random random = new Random(1);
        int early = 0;
        for (int draw = 0; draw < 1_000; draw++) {
            long delay = new RetryBackoff(1_000, 1_000, random).nextDelayMillis(0);
            assertTrue(delay >= 0 && delay <= 1_000);
            early += delay < 500 ? 1 : 0;
        }
        assertEquals(500, early, 60);
    }

    @Test
    void distributesSubscribersEvenlyBeforeAndAfterServerFailure() {
        Random random = new Random(1);
        int[] first = new int[SERVERS];
        int[] afterFailureOfServer0 = new int[SERVERS];
        for (int subscriber = 0; subscriber < SUBSCRIBERS; subscriber++) {
            ServerRotation rotation = new ServerRotation(SERVERS, random);
            first[rotation.current()]++;
            if (rotation.current() == 0) {
                rotation.advance();
            }
            afterFailureOfServer0[rotation.current()]++;
        }
        for (int server = 0; server < SERVERS; server++) {
            assertEquals(SUBSCRIBERS / SERVERS, first[server], 50);
            assertEquals(
                    server == 0 ? 0 : SUBSCRIBERS / (SERVERS - 1),
                    afterFailureOfServer0[server],
                    60);
        }
    }

    @Test
    void triesEachServerOncePerCycle() {
        ServerRotation rotation = new ServerRotation(SERVERS, new Random(1));
        Set<Integer> tried = new HashSet<>();
        for (int attempt = 0; attempt < SERVERS; attempt++) {
            tried.add(rotation.current());
            rotation.advance();
        }
        assertEquals(SERVERS, tried.size());
        assertTrue(tried.contains(rotation.current()));
    }

    @Test
    void rejectsInvalidPhaseTransitions() {
        PhaseMachine phases = new PhaseMachine();
        assertThrows(IllegalStateException.class, phases::follow);
        assertThrows(IllegalStateException.class, phases::finish);
        phases.connect();
        assertThrows(IllegalStateException.class, phases::connect);
        assertThrows(IllegalStateException.class, phases::startCheck);
        phases.follow();
        assertThrows(IllegalStateException.class, phases::startApply);
        phases.startCheck();
        phases.disconnect();
        phases.startApply();
        phases.finish();
        assertEquals(SubscriberPhase.DISCONNECTED, phases.phase());
    }
}
