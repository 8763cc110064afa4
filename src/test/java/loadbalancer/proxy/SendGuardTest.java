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
 * Whether an attempt may begin, depending on the request class, the time, and the other attempts of
 * the request.
 */
class SendGuardTest {
    private static final long DEADLINE = 2_000_000;
    private static final long WINDOW = 300_000;
    private static final long MARGIN = 15_000;

    private final UpstreamAttempt first = new UpstreamAttempt(0, "a", 1_000);
    private final UpstreamAttempt next = new UpstreamAttempt(1, "b", 50_000);

    private static SendGuard guard(Idempotency idempotency, boolean isHedgingAllowed) {
        return new SendGuard(
                new RequestClass(
                        "c",
                        1,
                        0,
                        DEADLINE,
                        1,
                        0,
                        idempotency,
                        IdempotencyScope.ALL,
                        WINDOW,
                        false),
                isHedgingAllowed,
                MARGIN);
    }

    private boolean allows(Idempotency idempotency, boolean isHedgingAllowed, long nowMicros) {
        return guard(idempotency, isHedgingAllowed)
                .allows(next, List.of(first, next), DEADLINE, nowMicros);
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void allowsFirstAttemptUntilMarginBeforeDeadline(Idempotency idempotency) {
        SendGuard guard = guard(idempotency, false);
        assertTrue(guard.allows(next, List.of(next), DEADLINE, DEADLINE - MARGIN - 1));
        assertFalse(guard.allows(next, List.of(next), DEADLINE, DEADLINE - MARGIN));
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void allowsRetryAfterProofOfNoExecution(Idempotency idempotency) {
        first.begin(true);
        first.end(AttemptOutcome.REJECTED);
        assertTrue(allows(idempotency, false, 1_500_000));
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void ignoresAttemptThatHasNotBegun(Idempotency idempotency) {
        assertTrue(allows(idempotency, false, 60_000));
    }

    @Test
    void allowsRetryAfterPossibleExecutionOnlyIfIdempotentOrInWindow() {
        first.begin(true);
        first.end(AttemptOutcome.CONNECTION_RESET);
        assertTrue(allows(Idempotency.IDEMPOTENT, false, 1_500_000));
        assertFalse(allows(Idempotency.NOT_IDEMPOTENT, false, 60_000));
        assertTrue(allows(Idempotency.KEYED, false, first.decidedAtMicros() + WINDOW - MARGIN - 1));
        assertFalse(allows(Idempotency.KEYED, false, first.decidedAtMicros() + WINDOW - MARGIN));
    }

    @Test
    void allowsHedgingOnlyIfEnabledAndNotUnsafe() {
        first.begin(true);
        for (Idempotency idempotency : Idempotency.values()) {
            assertFalse(allows(idempotency, false, 60_000));
            assertEquals(
                    idempotency != Idempotency.NOT_IDEMPOTENT, allows(idempotency, true, 60_000));
        }
        assertFalse(allows(Idempotency.KEYED, true, first.decidedAtMicros() + WINDOW - MARGIN));
    }

    /** The attempt that was decided on first may be the last to get its connection. */
    @Test
    void considersAttemptThatWasDecidedLaterButBeganFirst() {
        next.begin(true);
        assertFalse(
                guard(Idempotency.NOT_IDEMPOTENT, true)
                        .allows(first, List.of(first, next), DEADLINE, 60_000));
        assertTrue(
                guard(Idempotency.KEYED, true)
                        .allows(first, List.of(first, next), DEADLINE, 60_000));
    }
}
