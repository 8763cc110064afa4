package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Whether an attempt may begin at the instant of its first byte, by its class and by those before
 * it.
 */
class LastLookTest {
    private static final long DEADLINE = 2_000_000;
    private static final long WINDOW = 300_000;
    private static final long MARGIN = 15_000;

    private final UpstreamAttempt first = new UpstreamAttempt(0, "a", 1_000);
    private final UpstreamAttempt next = new UpstreamAttempt(1, "b", 50_000);

    private static SendGuard look(Idempotency effect, boolean secondCopies) {
        return new SendGuard(
                new RequestClass(
                        "c", 1, 0, DEADLINE, 1, 0, effect, IdempotencyScope.ALL, WINDOW, false),
                secondCopies,
                MARGIN);
    }

    private boolean allows(Idempotency effect, boolean secondCopies, long now) {
        return look(effect, secondCopies).allows(next, List.of(first, next), DEADLINE, now);
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void firstAttemptUpToTheDeadline(Idempotency effect) {
        SendGuard look = look(effect, false);
        assertTrue(look.allows(next, List.of(next), DEADLINE, DEADLINE - MARGIN - 1));
        assertFalse(look.allows(next, List.of(next), DEADLINE, DEADLINE - MARGIN));
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void anythingAfterOneThatSurelyNeverRan(Idempotency effect) {
        first.begin(true);
        first.end(AttemptOutcome.REJECTED);
        assertTrue(allows(effect, false, 1_500_000));
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void oneThatWasNotBegunStandsInNobodysWay(Idempotency effect) {
        assertTrue(allows(effect, false, 60_000));
    }

    @Test
    void repeatOfWhatMayHaveRun() {
        first.begin(true);
        first.end(AttemptOutcome.CONNECTION_RESET);
        assertTrue(allows(Idempotency.IDEMPOTENT, false, 1_500_000));
        assertFalse(allows(Idempotency.NOT_IDEMPOTENT, false, 60_000));
        assertTrue(allows(Idempotency.KEYED, false, first.decidedAtMicros() + WINDOW - MARGIN - 1));
        assertFalse(allows(Idempotency.KEYED, false, first.decidedAtMicros() + WINDOW - MARGIN));
    }

    @Test
    void secondCopyBesideOneThatIsOut() {
        first.begin(true);
        for (Idempotency effect : Idempotency.values()) {
            assertFalse(allows(effect, false, 60_000));
            assertEquals(effect != Idempotency.NOT_IDEMPOTENT, allows(effect, true, 60_000));
        }
        assertFalse(allows(Idempotency.KEYED, true, first.decidedAtMicros() + WINDOW - MARGIN));
    }

    /** The one decided on first may come up last. */
    @Test
    void windowRunsFromWhicheverBegan() {
        next.begin(true);
        assertFalse(
                look(Idempotency.NOT_IDEMPOTENT, true)
                        .allows(first, List.of(first, next), DEADLINE, 60_000));
        assertTrue(
                look(Idempotency.KEYED, true)
                        .allows(first, List.of(first, next), DEADLINE, 60_000));
    }
}
