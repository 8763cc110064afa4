package loadbalancer.proxy;

import static loadbalancer.proxy.Bench.MILLI;
import static loadbalancer.proxy.Bench.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.AttemptOutcome;
import org.junit.jupiter.api.Test;

/**
 * The time that an attempt tells its upstream is what is left when it goes out, not when it was
 * decided on.
 */
class TimeLeftTest {
    private static final int SAFE = 0;

    private final Bench bench = new Bench(false, true).list(3, 0);

    private long toldByAttempt(int number) {
        return bench.sent.get(number).listener.timeLeftMillis();
    }

    @Test
    void connectionThatComesUpLateTakesItsTimeFromWhatIsLeft() {
        bench.ask(SAFE, SECOND);
        bench.pass(400 * MILLI);
        assertEquals(600, toldByAttempt(0));
    }

    @Test
    void furtherAttemptTellsWhatTheFirstHasLeft() {
        bench.ask(SAFE, SECOND);
        bench.pass(300 * MILLI);
        bench.sent.get(0).listener.ended(AttemptOutcome.CONNECT_FAILED, null);
        assertEquals(2, bench.sent.size());
        bench.pass(250 * MILLI);
        assertEquals(450, toldByAttempt(1));
    }

    @Test
    void noTimeIsLeftBehindTheDeadline() {
        bench.ask(SAFE, SECOND);
        bench.lag(2 * SECOND);
        assertEquals(0, toldByAttempt(0));
    }
}
