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

/** Violations are counted under their kind, and permitted attempts are not counted. */
class SendAuditTest {
    private static final long SECOND = 1_000_000;
    private static final long CLIENT_TIMEOUT = 2 * SECOND;
    private static final long IDEMPOTENCY_WINDOW = SECOND;
    private static final long DRAIN_GRACE = 2 * SECOND;

    private final Violations violations = new Violations();
    private long nowMicros = 1_000 * SECOND;
    private final SendAudit audit =
            new SendAudit(violations, () -> TimeUnit.MICROSECONDS.toNanos(nowMicros), settings());

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
                new RuleLimits(20_000, 10 * SECOND, 0.2, 10 * SECOND, DRAIN_GRACE, 3, SECOND),
                new Prices(0, 0.1, 0, 0, 0, 0),
                LoadReportSource.NONE,
                CapacityWeightKind.NONE,
                false,
                false,
                5_000);
    }

    private static EndpointListUpdate.Entry entry(
            String id, String zone, int cell, EndpointState state, long startedAtMillis) {
        return new EndpointListUpdate.Entry(
                id,
                new InetSocketAddress("127.0.0.1", 1),
                zone,
                "k",
                cell,
                state,
                1,
                startedAtMillis);
    }

    private void updateEndpoints(EndpointListUpdate.Entry... entries) {
        audit.updateEndpoints(new EndpointListUpdate(1, false, List.of(entries)), false);
    }

    private RequestAudit request(
            Idempotency idempotency, IdempotencyScope scope, boolean isHedgingAllowed) {
        RequestAudit request =
                new RequestAudit(
                        "r",
                        new RequestClass(
                                "c",
                                SECOND,
                                0,
                                CLIENT_TIMEOUT,
                                1,
                                0.5,
                                idempotency,
                                scope,
                                IDEMPOTENCY_WINDOW,
                                false),
                        isHedgingAllowed,
                        CLIENT_TIMEOUT);
        audit.bodyReceived(request);
        return request;
    }

    private RequestAudit idempotentRequest() {
        return request(Idempotency.IDEMPOTENT, IdempotencyScope.ALL, true);
    }

    private void assertOnlyViolation(Violation kind) {
        assertEquals(Violations.name(kind) + " 1", violations.summary());
    }

    private void assertNoViolation() {
        assertEquals("none", violations.summary());
    }

    @BeforeEach
    void listEndpoints() {
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
    void reportsAttemptAfterClientDisconnected() {
        RequestAudit request = idempotentRequest();
        request.clientDisconnected();
        audit.attemptBegins(request, "a", 1_000);
        assertOnlyViolation(Violation.CLIENT_GONE);
    }

    @ParameterizedTest
    @CsvSource({
        "2000000,0,none",
        "2000001,0,deadline_over 1",
        "1000000,1150,none",
        "1000000,1151,told_too_much 1"
    })
    void reportsAttemptAfterDeadlineOrWithTooMuchTimeAnnounced(
            long elapsedMicros, long announcedMillis, String expected) {
        RequestAudit request = idempotentRequest();
        nowMicros += elapsedMicros;
        audit.attemptBegins(request, "a", announcedMillis);
        assertEquals(expected, violations.summary());
    }

    /**
     * The limit is the grace period of 2 s, less 0.15 s for a pause between reading the clock and
     * writing, plus 0.05 s for time in sockets.
     */
    @ParameterizedTest
    @CsvSource({"1900000,none", "1900001,draining_upstream 1"})
    void reportsAttemptAfterDrainGrace(long elapsedMicros, String expected) {
        updateEndpoints(entry("a", "z1", 1, EndpointState.DRAINING, 0));
        nowMicros += elapsedMicros;
        audit.attemptBegins(idempotentRequest(), "a", 1);
        assertEquals(expected, violations.summary());
    }

    @Test
    void reportsAttemptToEndpointMissingInCompleteList() {
        audit.updateEndpoints(
                new EndpointListUpdate(
                        2, true, List.of(entry("b", "z1", 2, EndpointState.READY, 0))),
                false);
        nowMicros += DRAIN_GRACE;
        audit.attemptBegins(idempotentRequest(), "a", 1);
        assertOnlyViolation(Violation.DRAINING_UPSTREAM);
    }

    @Test
    void allowsAttemptToEndpointThatIsReadyAgain() {
        updateEndpoints(entry("a", "z1", 1, EndpointState.DRAINING, 0));
        updateEndpoints(entry("a", "z1", 1, EndpointState.READY, 0));
        nowMicros += 2 * DRAIN_GRACE;
        audit.attemptBegins(idempotentRequest(), "a", 1);
        assertNoViolation();
    }

    @Test
    void reportsAttemptToUnknownEndpoint() {
        audit.attemptBegins(idempotentRequest(), "x", 1);
        assertOnlyViolation(Violation.DRAINING_UPSTREAM);
    }

    @Test
    void reportsHedgedAttemptIfHedgingIsDisabled() {
        RequestAudit request = request(Idempotency.IDEMPOTENT, IdempotencyScope.ALL, false);
        audit.attemptBegins(request, "a", 1);
        audit.attemptBegins(request, "b", 1);
        assertOnlyViolation(Violation.SECOND_COPY);
    }

    @Test
    void reportsRetryOfNonIdempotentRequestThatMayHaveBeenExecuted() {
        RequestAudit request = request(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL, true);
        audit.attemptBegins(request, "a", 1).ended(AttemptOutcome.REJECTED);
        audit.attemptBegins(request, "b", 1).ended(AttemptOutcome.CONNECTION_RESET);
        assertNoViolation();
        audit.attemptBegins(request, "c", 1);
        assertOnlyViolation(Violation.REPEAT_NOT_ALLOWED);
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
    void reportsRetryOfKeyedRequestOutsideScopeOrWindow(
            IdempotencyScope scope, String next, long elapsedMicros, String expected) {
        RequestAudit request = request(Idempotency.KEYED, scope, true);
        audit.attemptBegins(request, "a", 1).ended(AttemptOutcome.TIMEOUT);
        nowMicros += elapsedMicros;
        audit.attemptBegins(request, next, 1);
        assertEquals(expected, violations.summary());
    }

    @Test
    void reportsAttemptsBeyondSlowStartQuota() {
        for (int i = 0; i < 60; i++) {
            audit.attemptBegins(idempotentRequest(), "abc".substring(i % 3, i % 3 + 1), 1);
        }
        nowMicros += SECOND;
        updateEndpoints(entry("a", "z1", 1, EndpointState.READY, 1));
        // 20 attempts to each endpoint in a window; the quota is three times that at a fifth of the
        // capacity, which is 12, and the slack is 13.4.
        for (int i = 0; i < 25; i++) {
            audit.attemptBegins(idempotentRequest(), "a", 1);
        }
        assertNoViolation();
        audit.attemptBegins(idempotentRequest(), "a", 1);
        assertOnlyViolation(Violation.SLOW_START_EXCEEDED);
    }

    @Test
    void reportsSecondFinalResponse() {
        RequestAudit request = idempotentRequest();
        audit.responded(request);
        assertNoViolation();
        audit.responded(request);
        assertOnlyViolation(Violation.ANSWERED_TWICE);
    }
}
