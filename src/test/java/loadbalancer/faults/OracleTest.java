package loadbalancer.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.lab.sim.Streams;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the checks call a break, to the microsecond. */
class OracleTest {
    private static final long DELAY = 600;

    private final Timeline timeline = new Timeline(() -> {});
    private final Oracle oracle = new Oracle(timeline, 1_200_000, 2_000_000, DELAY);
    private final UniformRandomProvider random = new Streams(1).of("network");
    private final End client = new End(new VirtualNetwork(timeline, random), new Host("clients"));
    private final End balancer =
            new End(new VirtualNetwork(timeline, random), new Host("balancer"));

    private Oracle.Seen asked() {
        End.join(client, balancer);
        return oracle.asked("r0", Oracle.Effect.SAFE, 1_000_000, 3, client);
    }

    private void answered(Oracle.Seen seen, String body) {
        oracle.answered(seen, 200, body);
    }

    /**
     * 20 ms behind the way there and here; of a loop that is behind the operators' 0.1 s, and no
     * more.
     */
    @ParameterizedTest
    @CsvSource({
        "false, 21200, false",
        "false, 21201, true",
        "true, 101200, false",
        "true, 101201, true"
    })
    void anAttemptForAClientThatHasGone(boolean behind, long after, boolean broken) {
        Oracle.Seen seen = asked();
        if (behind) {
            oracle.behind(true);
        }
        oracle.left(seen);
        timeline.runUntil(after);
        oracle.ran("r0", "u0", after);
        assertEquals(broken, !oracle.breaches.isEmpty(), oracle.breaches.toString());
    }

    @Test
    void anAnswerOfWhichTheEndIsMissing() {
        Oracle.Seen seen = asked();
        oracle.ran("r0", "u0", 0);
        oracle.made("r0", "answer to r0 from u0 xxx");
        answered(seen, "answer to r0 from u0 xx");
        assertEquals(1, oracle.breaches.size(), oracle.breaches.toString());
        assertTrue(oracle.breaches.get(0).contains("no upstream made whole"));
    }

    @Test
    void anAnswerOfTheSecondOfTwoAttempts() {
        Oracle.Seen seen = asked();
        oracle.ran("r0", "u0", 0);
        oracle.made("r0", "answer to r0 from u0 ");
        oracle.ran("r0", "u1", 0);
        oracle.made("r0", "answer to r0 from u1 ");
        answered(seen, "answer to r0 from u1 ");
        assertEquals(List.of(), oracle.breaches);
    }

    /**
     * The balancer's end has said that it says no more, and then the request comes in and is sent
     * on.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aRequestThatComesBehindTheShutdown(boolean late) {
        asked();
        if (late) {
            balancer.shutdownOutput();
        }
        client.send(new byte[] {1});
        timeline.runUntil(10_000);
        oracle.ran("r0", "u0", timeline.micros());
        assertEquals(late ? 1 : 0, oracle.breaches.size(), oracle.breaches.toString());
    }
}
