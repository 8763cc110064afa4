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
        Bench bench = new Bench(false, cancel).list(1, 0);
        Answered client = bench.ask(UNSAFE, 1_000 * MILLI);
        assertEquals(1, bench.inFlight());
        bench.driver.clientDisconnected(client.id);
        assertTrue(bench.sent.get(0).abandoned);
        assertEquals(0, bench.inFlight());
        assertEquals(0, bench.figures.inProgress());
        assertFalse(bench.driver.isInFlight(client.id));
        assertFalse(bench.sent.get(0).listener.mayBegin());
    }

    @Test
    void writtenAttemptRunsOnWhereTheSettingsAllowNoCancel() {
        Bench bench = new Bench(false, false).list(1, 0);
        Answered client = bench.ask(SAFE, 1_000 * MILLI);
        assertTrue(bench.sent.get(0).comesUp());
        bench.driver.clientDisconnected(client.id);
        assertFalse(bench.sent.get(0).abandoned);
        assertEquals(1, bench.inFlight());
        bench.sent
                .get(0)
                .listener
                .ended(
                        AttemptOutcome.SUCCESS,
                        new UpstreamTransport.Response(null, Unpooled.EMPTY_BUFFER));
        assertEquals(0, bench.inFlight());
        assertEquals("", client.got);
    }

    /** The loop lags: the dial is up, and the client's close has not been read. */
    @Test
    void clientIsLookedForBeforeTheFirstByte() {
        Bench bench = new Bench(false, true).list(3, 0);
        Answered client = bench.ask(SAFE, 1_000 * MILLI);
        client.here = false;
        assertFalse(bench.sent.get(0).comesUp());
        assertEquals(1, bench.sent.size(), "and the module does not try on");
        assertEquals(0, bench.figures.inProgress());
        assertFalse(bench.driver.isInFlight(client.id));
        assertEquals(0, bench.inFlight());
    }

    /** With one attempt written and one dialling, each is ended by its own rule. */
    @Test
    void bothAttemptsOfAClientThatLeaves() {
        Bench bench = new Bench(true, true).list(2, 0);
        Answered client = bench.ask(SAFE, 1_000 * MILLI);
        assertTrue(bench.sent.get(0).comesUp());
        bench.actions.sendAttempt(client.id, "u1", 0);
        bench.driver.clientDisconnected(client.id);
        assertTrue(bench.sent.get(0).abandoned, "the module cancels what is written");
        assertTrue(bench.sent.get(1).abandoned);
        assertFalse(bench.driver.isInFlight(client.id));
        assertEquals(0, bench.inFlight());
    }

    @Test
    void heldRequestOfAClientThatLeavesIsSentNowhere() {
        Bench bench = new Bench(false, true);
        Answered client = bench.ask(SAFE, 1_000 * MILLI);
        bench.driver.clientDisconnected(client.id);
        bench.list(3, 0);
        bench.pass(300 * MILLI);
        assertEquals(0, bench.sent.size());
        assertEquals(0, bench.figures.inProgress());
    }

    /** What was never sent used up the little that a cold upstream may get. */
    @Test
    void coldBudgetOfWhatWasNeverSentIsGivenBack() {
        Bench bench = new Bench(false, true).list(1, 19_000);
        while (bench.sent.isEmpty()) { // it begins with a debt
            bench.pass(100 * MILLI);
            Answered client = bench.ask(SAFE, 50 * MILLI);
            if (bench.sent.isEmpty()) {
                bench.driver.clientDisconnected(client.id);
            }
        }
        double spent = bench.memory().endpoints().get(0).slowStartTokens();
        bench.driver.clientDisconnected(bench.clients.get(bench.clients.size() - 1).id);
        assertTrue(bench.memory().endpoints().get(0).slowStartTokens() > spent);
    }

    /** The dial took longer than the client waits. */
    @Test
    void attemptDoesNotBeginAfterTheDeadline() {
        Bench bench = new Bench(false, true).list(1, 0);
        Answered client = bench.ask(SAFE, 100 * MILLI);
        bench.pass(86 * MILLI);
        assertFalse(bench.sent.get(0).comesUp());
        bench.pass(14 * MILLI);
        assertEquals("refused", client.got);
        assertEquals(1, bench.sent.size());
    }

    /** Decided within the window, written after it. */
    @Test
    void repeatDoesNotBeginAfterTheWindow() {
        Bench bench = new Bench(false, true).list(2, 0);
        Answered client = bench.ask(KEYED, 2_000 * MILLI);
        assertTrue(bench.sent.get(0).comesUp());
        bench.pass(250 * MILLI);
        bench.sent.get(0).listener.ended(AttemptOutcome.CONNECTION_RESET, null);
        assertEquals(2, bench.sent.size());
        bench.pass(40 * MILLI);
        assertFalse(bench.sent.get(1).comesUp());
        assertEquals(
                "refused", client.got, "with the scope of all a repeat by the client is harmless");
        assertEquals(2, bench.sent.size(), "and the module does not try on");
        assertEquals(0, bench.inFlight());
    }

    /** A refusal of ours says nothing of the upstream. */
    @Test
    void upstreamIsNotEjectedForWhatWeCalledOff() {
        Bench bench = new Bench(false, true).list(1, 0);
        bench.driver.clientDisconnected(bench.ask(SAFE, 1_000 * MILLI).id);
        assertEquals(0, bench.memory().endpoints().get(0).ejectionLeftMicros());
        bench.ask(SAFE, 1_000 * MILLI);
        assertEquals(2, bench.sent.size());
    }

    /** Read so late that its time is over: refused at once. */
    @ParameterizedTest
    @ValueSource(longs = {0, 15 * MILLI})
    void requestWithNoTimeLeftIsRefusedUnsent(long left) {
        Bench bench = new Bench(false, true).list(1, 0);
        assertEquals("refused", bench.ask(SAFE, left).got);
        assertEquals(0, bench.sent.size());
        assertEquals(0, bench.figures.inProgress());
    }

    /** It may have waited unread for as long as the loop is behind. */
    @Test
    void requestReadByALaggingLoopIsRefusedUnsentIfItsTimeIsOver() {
        Bench bench = new Bench(false, true).list(1, 0);
        bench.pass(20 * MILLI);
        bench.lag(400 * MILLI);
        assertEquals("refused", bench.ask(SAFE, 300 * MILLI).got);
        assertEquals(0, bench.sent.size());
    }

    /** Its client waited for the rest for good, and the process for its client (seed 2082). */
    @Test
    void largeAnswerUnderWayAtTheEndOfAStopIsCut() {
        Bench bench = new Bench(false, true).list(1, 0);
        Answered client = bench.ask(SAFE, 1_000 * MILLI);
        assertTrue(bench.sent.get(0).comesUp());
        bench.sent.get(0).listener.responseStarted(200_000);
        bench.driver.failAllInFlight();
        assertEquals("serving cut", client.got);
        assertTrue(bench.sent.get(0).abandoned);
        assertEquals(0, bench.figures.inProgress());
    }
}
