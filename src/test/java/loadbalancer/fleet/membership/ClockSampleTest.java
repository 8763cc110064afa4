package loadbalancer.fleet.membership;

import static loadbalancer.fleet.membership.ScriptedSwim.MILLISECOND;
import static loadbalancer.fleet.membership.ScriptedSwim.WALL_OFFSET;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the clock samples that acks provide. Times are microseconds. */
class ClockSampleTest {
    private final ScriptedSwim script = new ScriptedSwim();

    @Test
    void firstAckOfAPingGivesTheOffsetAndTheRoundTrip() {
        SwimMessage.Ping ping = script.startAndPing();
        script.run(10 * MILLISECOND);
        long received = ping.sentAtMicros() + 5 * MILLISECOND + 30_000 * MILLISECOND;
        long sent = received + 2 * MILLISECOND;
        SwimMessage.Ack ack = new SwimMessage.Ack(ping.nonce(), ping.target(), 0, received, sent);
        script.receive(ping.target(), ack);
        script.receive(ping.target(), ack);
        long roundTrip = script.now() - (ping.sentAtMicros() - WALL_OFFSET) - 2 * MILLISECOND;
        long offset = (received - ping.sentAtMicros() + (sent - WALL_OFFSET - script.now())) / 2;
        assertEquals(
                List.of(ping.target() + ' ' + offset + ' ' + roundTrip), script.notifications());
    }

    @Test
    void implausibleSampleIsNotReported() {
        ClockSample.Instant pingSent = new ClockSample.Instant(0, WALL_OFFSET);
        ClockSample.report(
                pingSent,
                new ClockSample.Instant(10 * MILLISECOND, WALL_OFFSET + 500 * MILLISECOND),
                new SwimMessage.Ack(1, "a", 0, WALL_OFFSET, WALL_OFFSET),
                script);
        ClockSample.report(
                pingSent,
                new ClockSample.Instant(10 * MILLISECOND, WALL_OFFSET + 10 * MILLISECOND),
                new SwimMessage.Ack(1, "a", 0, Long.MIN_VALUE, Long.MAX_VALUE),
                script);
        assertEquals(List.of(), script.notifications());
    }
}
