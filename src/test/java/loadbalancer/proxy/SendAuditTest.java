package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.AttemptOutcome;
import loadbalancer.CapacityWeightKind;
import loadbalancer.EndpointState;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReportSource;
import loadbalancer.Prices;
import loadbalancer.RequestClass;
import loadbalancer.RuleLimits;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each breach of a rule is counted under its kind, and what is allowed is not. */
class SendAuditTest {
    private static final long SECOND = 1_000_000;
    private static final long TIME_LEFT = 2 * SECOND;
    private static final long WINDOW = SECOND;
    private static final long GRACE = 2 * SECOND;

    private final Violations violations = new Violations();
    private long micros = 1_000 * SECOND;
    private final SendAudit audit =
            new SendAudit(violations, () -> TimeUnit.MICROSECONDS.toNanos(micros), settings());

    private static LoadBalancerSettings settings() {
        return new LoadBalancerSettings(
                0,
                1,
                0,
                1,
                List.of(),
                List.of(),
                0.2,
                true,
                new LoadBalancerLimits(
                        3, true, false, true, false, 20_000, false, 0, SECOND, 10 * SECOND, 1),
                new RuleLimits(20_000, 10 * SECOND, 0.2, 10 * SECOND, GRACE, 3, SECOND),
                new Prices(0, 0.1, 0, 0, 0, 0),
                LoadReportSource.NONE,
                CapacityWeightKind.NONE,
                false,
                false,
                5_000);
    }

    private static EndpointListUpdate.Entry entry(
            String id, String zone, int cell, EndpointState state, long startedMs) {
        return new EndpointListUpdate.Entry(
                id, new InetSocketAddress("127.0.0.1", 1), zone, "k", cell, state, 1, startedMs);
    }

    private void tell(EndpointListUpdate.Entry... entries) {
        audit.updateEndpoints(new EndpointListUpdate(1, false, List.of(entries)), false);
    }

    private RequestAudit request(Idempotency effect, IdempotencyScope scope, boolean secondCopies) {
        RequestAudit request =
                new RequestAudit(
                        "r",
                        new RequestClass(
                                "c", SECOND, 0, TIME_LEFT, 1, 0.5, effect, scope, WINDOW, false),
                        secondCopies,
                        TIME_LEFT);
        audit.bodyReceived(request);
        return request;
    }

    private RequestAudit safe() {
        return request(Idempotency.IDEMPOTENT, IdempotencyScope.ALL, true);
    }

    private void assertOnly(Violation kind) {
        assertEquals(Violations.name(kind) + " 1", violations.summary());
    }

    private void assertNone() {
        assertEquals("none", violations.summary());
    }

    @BeforeEach
    void list() {
        audit.updateEndpoints(
                new EndpointListUpdate(
                        0,
                        true,
                        List.of(
                                entry("a", "z1", 1, EndpointState.READY, 0),
                                entry("b", "z1", 2, EndpointState.READY, 0),
                                entry("c", "z2", 3, EndpointState.READY, 0))),
                false);
    }

    @Test
    void attemptForAClientThatLeft() {
        RequestAudit request = safe();
        request.clientDisconnected();
        audit.attemptBegins(request, "a", 1_000);
        assertOnly(Violation.CLIENT_GONE);
    }

    @ParameterizedTest
    @CsvSource({
        "2000000,0,none",
        "2000001,0,deadline_over 1",
        "1000000,1150,none",
        "1000000,1151,told_too_much 1"
    })
    void timeThatIsLeftAndTold(long later, long told, String found) {
        RequestAudit request = safe();
        micros += later;
        audit.attemptBegins(request, "a", told);
        assertEquals(found, violations.summary());
    }

    /** The grace covers a hold-up of 0.15 s between the look at the clock and the write. */
    @ParameterizedTest
    @CsvSource({"1900000,none", "1900001,draining_upstream 1"})
    void drainPastItsGrace(long later, String found) {
        tell(entry("a", "z1", 1, EndpointState.DRAINING, 0));
        micros += later;
        audit.attemptBegins(safe(), "a", 1);
        assertEquals(found, violations.summary());
    }

    @Test
    void wholeListThatLeavesOneOutClosesIt() {
        audit.updateEndpoints(
                new EndpointListUpdate(
                        2, true, List.of(entry("b", "z1", 2, EndpointState.READY, 0))),
                false);
        micros += GRACE;
        audit.attemptBegins(safe(), "a", 1);
        assertOnly(Violation.DRAINING_UPSTREAM);
    }

    @Test
    void upstreamThatIsReadyAgain() {
        tell(entry("a", "z1", 1, EndpointState.DRAINING, 0));
        tell(entry("a", "z1", 1, EndpointState.READY, 0));
        micros += 2 * GRACE;
        audit.attemptBegins(safe(), "a", 1);
        assertNone();
    }

    @Test
    void upstreamThatNobodyNamed() {
        audit.attemptBegins(safe(), "x", 1);
        assertOnly(Violation.DRAINING_UPSTREAM);
    }

    @Test
    void secondCopyWhereNoneMayBe() {
        RequestAudit request = request(Idempotency.IDEMPOTENT, IdempotencyScope.ALL, false);
        audit.attemptBegins(request, "a", 1);
        audit.attemptBegins(request, "b", 1);
        assertOnly(Violation.SECOND_COPY);
    }

    @Test
    void unsafeRequestIsRepeatedOnlyIfItNeverRan() {
        RequestAudit request = request(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL, true);
        audit.attemptBegins(request, "a", 1).ended(AttemptOutcome.REJECTED);
        audit.attemptBegins(request, "b", 1).ended(AttemptOutcome.CONNECTION_RESET);
        assertNone();
        audit.attemptBegins(request, "c", 1);
        assertOnly(Violation.REPEAT_NOT_ALLOWED);
    }

    @ParameterizedTest
    @CsvSource({
        "ALL,c,1050000,none",
        "ALL,c,1050001,repeat_not_allowed 1",
        "ZONE,b,0,none",
        "ZONE,c,0,repeat_not_allowed 1",
        "CELL,a,0,none",
        "CELL,b,0,repeat_not_allowed 1"
    })
    void keyedRequestIsRepeatedWithinItsScopeAndWindow(
            IdempotencyScope scope, String next, long later, String found) {
        RequestAudit request = request(Idempotency.KEYED, scope, true);
        audit.attemptBegins(request, "a", 1).ended(AttemptOutcome.TIMEOUT);
        micros += later;
        audit.attemptBegins(request, next, 1);
        assertEquals(found, violations.summary());
    }

    @Test
    void upstreamInItsSlowStartGetsMoreThanItsShare() {
        for (int i = 0; i < 60; i++) {
            audit.attemptBegins(safe(), "abc".substring(i % 3, i % 3 + 1), 1);
        }
        micros += SECOND;
        tell(entry("a", "z1", 1, EndpointState.READY, 1));
        // 20 a window at each; three times that, at a fifth of the capacity: 12, and 13.4 of slack.
        for (int i = 0; i < 25; i++) {
            audit.attemptBegins(safe(), "a", 1);
        }
        assertNone();
        audit.attemptBegins(safe(), "a", 1);
        assertOnly(Violation.SLOW_START_EXCEEDED);
    }

    @Test
    void requestGetsTwoAnswers() {
        RequestAudit request = safe();
        audit.responded(request);
        assertNone();
        audit.responded(request);
        assertOnly(Violation.ANSWERED_TWICE);
    }
}
