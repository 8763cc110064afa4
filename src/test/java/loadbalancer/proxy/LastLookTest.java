package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.LoadBalancer.Effect;
import loadbalancer.LoadBalancer.Outcome;
import loadbalancer.LoadBalancer.RequestClass;
import loadbalancer.LoadBalancer.Scope;
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

    private static SendGuard look(Effect effect, boolean secondCopies) {
        return new SendGuard(
                new RequestClass("c", 1, 0, DEADLINE, 1, 0, effect, Scope.ALL, WINDOW, false),
                secondCopies,
                MARGIN);
    }

    private boolean allows(Effect effect, boolean secondCopies, long now) {
        return look(effect, secondCopies).allows(next, List.of(first, next), DEADLINE, now);
    }

    @ParameterizedTest
    @EnumSource(Effect.class)
    void firstAttemptUpToTheDeadline(Effect effect) {
        SendGuard look = look(effect, false);
        assertTrue(look.allows(next, List.of(next), DEADLINE, DEADLINE - MARGIN - 1));
        assertFalse(look.allows(next, List.of(next), DEADLINE, DEADLINE - MARGIN));
    }

    @ParameterizedTest
    @EnumSource(Effect.class)
    void anythingAfterOneThatSurelyNeverRan(Effect effect) {
        first.begin(true);
        first.end(Outcome.FULL);
        assertTrue(allows(effect, false, 1_500_000));
    }

    @ParameterizedTest
    @EnumSource(Effect.class)
    void oneThatWasNotBegunStandsInNobodysWay(Effect effect) {
        assertTrue(allows(effect, false, 60_000));
    }

    @Test
    void repeatOfWhatMayHaveRun() {
        first.begin(true);
        first.end(Outcome.RESET);
        assertTrue(allows(Effect.SAFE, false, 1_500_000));
        assertFalse(allows(Effect.UNSAFE, false, 60_000));
        assertTrue(allows(Effect.KEYED, false, first.sentAt + WINDOW - MARGIN - 1));
        assertFalse(allows(Effect.KEYED, false, first.sentAt + WINDOW - MARGIN));
    }

    @Test
    void secondCopyBesideOneThatIsOut() {
        first.begin(true);
        for (Effect effect : Effect.values()) {
            assertFalse(allows(effect, false, 60_000));
            assertEquals(effect != Effect.UNSAFE, allows(effect, true, 60_000));
        }
        assertFalse(allows(Effect.KEYED, true, first.sentAt + WINDOW - MARGIN));
    }

    /** The one decided on first may come up last. */
    @Test
    void windowRunsFromWhicheverBegan() {
        next.begin(true);
        assertFalse(
                look(Effect.UNSAFE, true).allows(first, List.of(first, next), DEADLINE, 60_000));
        assertTrue(look(Effect.KEYED, true).allows(first, List.of(first, next), DEADLINE, 60_000));
    }
}
