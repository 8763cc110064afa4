package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import loadbalancer.AttemptOutcome;
import loadbalancer.proxy.Bench.Answered;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Between the decision on an attempt and its first byte, clients leave and times run out. */
class LeavingTest {
    private static final long MILLI = Bench.MILLI;
    private static final int SAFE = 0;
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;

    /** The dial went on, and the request was written once it came up. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void clientThatLeavesDuringTheDialEndsIt(boolean cancel) {
        Bench b = new Bench(false, cancel).list(1, 0);
        Answered client = b.ask(UNSAFE, 1_000 * MILLI);
        assertEquals(1, b.inFlight());
        b.driver.clientDisconnected(client.id);
        assertTrue(b.sent.get(0).abandoned);
        assertEquals(0, b.inFlight());
        assertEquals(0, b.figures.inProgress());
        assertFalse(b.driver.isInFlight(client.id));
        assertFalse(b.sent.get(0).listener.mayBegin());
    }

    @Test
    void writtenAttemptRunsOnWhereTheSettingsAllowNoCancel() {
        Bench b = new Bench(false, false).list(1, 0);
        Answered client = b.ask(SAFE, 1_000 * MILLI);
        assertTrue(b.sent.get(0).comesUp());
        b.driver.clientDisconnected(client.id);
        assertFalse(b.sent.get(0).abandoned);
        assertEquals(1, b.inFlight());
        b.sent.get(0)
                .listener
                .ended(
                        AttemptOutcome.SUCCESS,
                        new UpstreamTransport.Answer(null, Unpooled.EMPTY_BUFFER));
        assertEquals(0, b.inFlight());
        assertEquals("", client.got);
    }

    /** The loop lags: the dial is up, and the client's close has not been read. */
    @Test
    void clientIsLookedForBeforeTheFirstByte() {
        Bench b = new Bench(false, true).list(3, 0);
        Answered client = b.ask(SAFE, 1_000 * MILLI);
        client.here = false;
        assertFalse(b.sent.get(0).comesUp());
        assertEquals(1, b.sent.size(), "and the module does not try on");
        assertEquals(0, b.figures.inProgress());
        assertFalse(b.driver.isInFlight(client.id));
        assertEquals(0, b.inFlight());
    }

    /** With one attempt written and one dialling, each is ended by its own rule. */
    @Test
    void bothAttemptsOfAClientThatLeaves() {
        Bench b = new Bench(true, true).list(2, 0);
        Answered client = b.ask(SAFE, 1_000 * MILLI);
        assertTrue(b.sent.get(0).comesUp());
        b.actions.sendAttempt(client.id, "u1", 0);
        b.driver.clientDisconnected(client.id);
        assertTrue(b.sent.get(0).abandoned, "the module cancels what is written");
        assertTrue(b.sent.get(1).abandoned);
        assertFalse(b.driver.isInFlight(client.id));
        assertEquals(0, b.inFlight());
    }

    @Test
    void heldRequestOfAClientThatLeavesIsSentNowhere() {
        Bench b = new Bench(false, true);
        Answered client = b.ask(SAFE, 1_000 * MILLI);
        b.driver.clientDisconnected(client.id);
        b.list(3, 0);
        b.pass(300 * MILLI);
        assertEquals(0, b.sent.size());
        assertEquals(0, b.figures.inProgress());
    }

    /** What was never sent used up the little that a cold upstream may get. */
    @Test
    void coldBudgetOfWhatWasNeverSentIsGivenBack() {
        Bench b = new Bench(false, true).list(1, 19_000);
        while (b.sent.isEmpty()) { // it begins with a debt
            b.pass(100 * MILLI);
            Answered client = b.ask(SAFE, 50 * MILLI);
            if (b.sent.isEmpty()) {
                b.driver.clientDisconnected(client.id);
            }
        }
        double spent = b.memory().endpoints().get(0).slowStartTokens();
        b.driver.clientDisconnected(b.clients.get(b.clients.size() - 1).id);
        assertTrue(b.memory().endpoints().get(0).slowStartTokens() > spent);
    }

    /** The dial took longer than the client waits. */
    @Test
    void attemptDoesNotBeginAfterTheDeadline() {
        Bench b = new Bench(false, true).list(1, 0);
        Answered client = b.ask(SAFE, 100 * MILLI);
        b.pass(86 * MILLI);
        assertFalse(b.sent.get(0).comesUp());
        b.pass(14 * MILLI);
        assertEquals("refused", client.got);
        assertEquals(1, b.sent.size());
    }

    /** Decided within the window, written after it. */
    @Test
    void repeatDoesNotBeginAfterTheWindow() {
        Bench b = new Bench(false, true).list(2, 0);
        Answered client = b.ask(KEYED, 2_000 * MILLI);
        assertTrue(b.sent.get(0).comesUp());
        b.pass(250 * MILLI);
        b.sent.get(0).listener.ended(AttemptOutcome.CONNECTION_RESET, null);
        assertEquals(2, b.sent.size());
        b.pass(40 * MILLI);
        assertFalse(b.sent.get(1).comesUp());
        assertEquals(
                "refused", client.got, "with the scope of all a repeat by the client is harmless");
        assertEquals(2, b.sent.size(), "and the module does not try on");
        assertEquals(0, b.inFlight());
    }

    /** A refusal of ours says nothing of the upstream. */
    @Test
    void upstreamIsNotEjectedForWhatWeCalledOff() {
        Bench b = new Bench(false, true).list(1, 0);
        b.driver.clientDisconnected(b.ask(SAFE, 1_000 * MILLI).id);
        assertEquals(0, b.memory().endpoints().get(0).ejectionLeftMicros());
        b.ask(SAFE, 1_000 * MILLI);
        assertEquals(2, b.sent.size());
    }

    /** Read so late that its time is over: refused at once. */
    @ParameterizedTest
    @ValueSource(longs = {0, 15 * MILLI})
    void requestWithNoTimeLeftIsRefusedUnsent(long left) {
        Bench b = new Bench(false, true).list(1, 0);
        assertEquals("refused", b.ask(SAFE, left).got);
        assertEquals(0, b.sent.size());
        assertEquals(0, b.figures.inProgress());
    }

    /** It may have waited unread for as long as the loop is behind. */
    @Test
    void requestReadByALaggingLoopIsRefusedUnsentIfItsTimeIsOver() {
        Bench b = new Bench(false, true).list(1, 0);
        b.pass(20 * MILLI);
        b.lag(400 * MILLI);
        assertEquals("refused", b.ask(SAFE, 300 * MILLI).got);
        assertEquals(0, b.sent.size());
    }

    /** Its client waited for the rest for good, and the process for its client (seed 2082). */
    @Test
    void largeAnswerUnderWayAtTheEndOfAStopIsCut() {
        Bench b = new Bench(false, true).list(1, 0);
        Answered client = b.ask(SAFE, 1_000 * MILLI);
        assertTrue(b.sent.get(0).comesUp());
        b.sent.get(0).listener.opened(200_000);
        b.driver.failAllInFlight();
        assertEquals("serving cut", client.got);
        assertTrue(b.sent.get(0).abandoned);
        assertEquals(0, b.figures.inProgress());
    }
}
