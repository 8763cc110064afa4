package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import loadbalancer.AttemptOutcome;
import loadbalancer.proxy.DispatcherFixture.ClientStub;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients that disconnect, and limits of time that pass, between the decision on an attempt and its
 * first byte.
 */
class RequestDispatcherTest {
    private static final long MILLI = DispatcherFixture.MILLI;
    private static final int IDEMPOTENT = 0;
    private static final int KEYED = 1;
    private static final int NOT_IDEMPOTENT = 2;

    /** Guards against a connect that goes on and writes the request once it completes. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void abandonsConnectWhenClientDisconnects(boolean isCancellationAllowed) {
        DispatcherFixture fixture =
                new DispatcherFixture(false, isCancellationAllowed).listEndpoints(1, 0);
        ClientStub client = fixture.receiveRequest(NOT_IDEMPOTENT, 1_000 * MILLI);
        assertEquals(1, fixture.inFlightRequests());
        fixture.dispatcher.clientDisconnected(client.id);
        assertTrue(fixture.attempts.get(0).abandoned);
        assertEquals(0, fixture.inFlightRequests());
        assertEquals(0, fixture.metrics.inProgress());
        assertFalse(fixture.dispatcher.isInFlight(client.id));
        assertFalse(fixture.attempts.get(0).listener.mayBegin());
    }

    @Test
    void continuesWrittenAttemptIfCancellationIsDisabled() {
        DispatcherFixture fixture = new DispatcherFixture(false, false).listEndpoints(1, 0);
        ClientStub client = fixture.receiveRequest(IDEMPOTENT, 1_000 * MILLI);
        assertTrue(fixture.attempts.get(0).connect());
        fixture.dispatcher.clientDisconnected(client.id);
        assertFalse(fixture.attempts.get(0).abandoned);
        assertEquals(1, fixture.inFlightRequests());
        fixture.attempts
                .get(0)
                .listener
                .ended(
                        AttemptOutcome.SUCCESS,
                        new UpstreamTransport.Response(null, Unpooled.EMPTY_BUFFER));
        assertEquals(0, fixture.inFlightRequests());
        assertEquals("", client.received);
    }

    /** The event loop is late: the connect has completed, and the client's close is unread. */
    @Test
    void checksClientConnectionBeforeFirstByte() {
        DispatcherFixture fixture = new DispatcherFixture(false, true).listEndpoints(3, 0);
        ClientStub client = fixture.receiveRequest(IDEMPOTENT, 1_000 * MILLI);
        client.connected = false;
        assertFalse(fixture.attempts.get(0).connect());
        assertEquals(1, fixture.attempts.size(), "the policy starts no further attempt");
        assertEquals(0, fixture.metrics.inProgress());
        assertFalse(fixture.dispatcher.isInFlight(client.id));
        assertEquals(0, fixture.inFlightRequests());
    }

    /** The policy cancels the written attempt; the dispatcher abandons the connecting one. */
    @Test
    void abandonsHedgedAttemptsWhenClientDisconnects() {
        DispatcherFixture fixture = new DispatcherFixture(true, true).listEndpoints(2, 0);
        ClientStub client = fixture.receiveRequest(IDEMPOTENT, 1_000 * MILLI);
        assertTrue(fixture.attempts.get(0).connect());
        fixture.actions.sendAttempt(client.id, "u1", 0);
        fixture.dispatcher.clientDisconnected(client.id);
        assertTrue(fixture.attempts.get(0).abandoned, "the policy cancels the written attempt");
        assertTrue(fixture.attempts.get(1).abandoned);
        assertFalse(fixture.dispatcher.isInFlight(client.id));
        assertEquals(0, fixture.inFlightRequests());
    }

    @Test
    void doesNotSendPendingRequestOfDisconnectedClient() {
        DispatcherFixture fixture = new DispatcherFixture(false, true);
        ClientStub client = fixture.receiveRequest(IDEMPOTENT, 1_000 * MILLI);
        fixture.dispatcher.clientDisconnected(client.id);
        fixture.listEndpoints(3, 0);
        fixture.advance(300 * MILLI);
        assertEquals(0, fixture.attempts.size());
        assertEquals(0, fixture.metrics.inProgress());
    }

    /** Guards against unsent attempts that use up the slow-start quota of an endpoint. */
    @Test
    void returnsSlowStartTokensOfUnsentAttempt() {
        DispatcherFixture fixture = new DispatcherFixture(false, true).listEndpoints(1, 19_000);
        while (fixture.attempts.isEmpty()) { // the quota starts in debt
            fixture.advance(100 * MILLI);
            ClientStub client = fixture.receiveRequest(IDEMPOTENT, 50 * MILLI);
            if (fixture.attempts.isEmpty()) {
                fixture.dispatcher.clientDisconnected(client.id);
            }
        }
        double tokensAfterAttempt = fixture.exportState().endpoints().get(0).slowStartTokens();
        fixture.dispatcher.clientDisconnected(fixture.clients.get(fixture.clients.size() - 1).id);
        assertTrue(fixture.exportState().endpoints().get(0).slowStartTokens() > tokensAfterAttempt);
    }

    /** The connect takes longer than the client waits. */
    @Test
    void doesNotBeginAttemptAfterDeadline() {
        DispatcherFixture fixture = new DispatcherFixture(false, true).listEndpoints(1, 0);
        ClientStub client = fixture.receiveRequest(IDEMPOTENT, 100 * MILLI);
        fixture.advance(86 * MILLI);
        assertFalse(fixture.attempts.get(0).connect());
        fixture.advance(14 * MILLI);
        assertEquals("rejected", client.received);
        assertEquals(1, fixture.attempts.size());
    }

    /** The retry is decided on within the window, and connected after it. */
    @Test
    void doesNotBeginRetryAfterIdempotencyWindow() {
        DispatcherFixture fixture = new DispatcherFixture(false, true).listEndpoints(2, 0);
        ClientStub client = fixture.receiveRequest(KEYED, 2_000 * MILLI);
        assertTrue(fixture.attempts.get(0).connect());
        fixture.advance(250 * MILLI);
        fixture.attempts.get(0).listener.ended(AttemptOutcome.CONNECTION_RESET, null);
        assertEquals(2, fixture.attempts.size());
        fixture.advance(40 * MILLI);
        assertFalse(fixture.attempts.get(1).connect());
        assertEquals(
                "rejected", client.received, "a retry by the client is harmless with scope ALL");
        assertEquals(2, fixture.attempts.size(), "the policy starts no further attempt");
        assertEquals(0, fixture.inFlightRequests());
    }

    /** An attempt that this process cancels is no failure of the endpoint. */
    @Test
    void doesNotEjectEndpointForCancelledAttempt() {
        DispatcherFixture fixture = new DispatcherFixture(false, true).listEndpoints(1, 0);
        fixture.dispatcher.clientDisconnected(fixture.receiveRequest(IDEMPOTENT, 1_000 * MILLI).id);
        assertEquals(0, fixture.exportState().endpoints().get(0).ejectionLeftMicros());
        fixture.receiveRequest(IDEMPOTENT, 1_000 * MILLI);
        assertEquals(2, fixture.attempts.size());
    }

    /** The request is read so late that its time is over. */
    @ParameterizedTest
    @ValueSource(longs = {0, 15 * MILLI})
    void rejectsRequestWithoutTimeLeft(long timeLeftMicros) {
        DispatcherFixture fixture = new DispatcherFixture(false, true).listEndpoints(1, 0);
        assertEquals("rejected", fixture.receiveRequest(IDEMPOTENT, timeLeftMicros).received);
        assertEquals(0, fixture.attempts.size());
        assertEquals(0, fixture.metrics.inProgress());
    }

    /** The request may have waited unread for as long as the event loop is late. */
    @Test
    void rejectsRequestWhoseTimeRanOutDuringLag() {
        DispatcherFixture fixture = new DispatcherFixture(false, true).listEndpoints(1, 0);
        fixture.advance(20 * MILLI);
        fixture.advanceWithoutTimers(400 * MILLI);
        assertEquals("rejected", fixture.receiveRequest(IDEMPOTENT, 300 * MILLI).received);
        assertEquals(0, fixture.attempts.size());
    }

    /**
     * Guards against a shutdown that never ends, because the client waits for the rest of the
     * response and the process for the client (seed 2082).
     */
    @Test
    void cutsStreamedResponseShortAtEndOfShutdown() {
        DispatcherFixture fixture = new DispatcherFixture(false, true).listEndpoints(1, 0);
        ClientStub client = fixture.receiveRequest(IDEMPOTENT, 1_000 * MILLI);
        assertTrue(fixture.attempts.get(0).connect());
        fixture.attempts.get(0).listener.responseStarted(200_000);
        fixture.dispatcher.failAllInFlight();
        assertEquals("streaming cut short", client.received);
        assertTrue(fixture.attempts.get(0).abandoned);
        assertEquals(0, fixture.metrics.inProgress());
    }
}
