package loadbalancer.proxy;

import static loadbalancer.proxy.DispatcherFixture.MILLI;
import static loadbalancer.proxy.DispatcherFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.AttemptOutcome;
import org.junit.jupiter.api.Test;

/**
 * An attempt announces the time that the client has left when the attempt is sent, not when it was
 * decided on.
 */
class TimeLeftTest {
    private static final int IDEMPOTENT = 0;

    private final DispatcherFixture fixture =
            new DispatcherFixture(false, true).listEndpoints(3, 0);

    private long announcedMillis(int attempt) {
        return fixture.attempts.get(attempt).listener.timeLeftMillis();
    }

    @Test
    void deductsTimeOfSlowConnect() {
        fixture.receiveRequest(IDEMPOTENT, SECOND);
        fixture.advance(400 * MILLI);
        assertEquals(600, announcedMillis(0));
    }

    @Test
    void deductsTimeOfEarlierAttempt() {
        fixture.receiveRequest(IDEMPOTENT, SECOND);
        fixture.advance(300 * MILLI);
        fixture.attempts.get(0).listener.ended(AttemptOutcome.CONNECT_FAILED, null);
        assertEquals(2, fixture.attempts.size());
        fixture.advance(250 * MILLI);
        assertEquals(450, announcedMillis(1));
    }

    @Test
    void announcesNoTimeAfterDeadline() {
        fixture.receiveRequest(IDEMPOTENT, SECOND);
        fixture.advanceWithoutTimers(2 * SECOND);
        assertEquals(0, announcedMillis(0));
    }
}
