package loadbalancer.fleet.membership;

import static loadbalancer.fleet.membership.ScriptedSwim.MILLISECOND;
import static loadbalancer.fleet.membership.ScriptedSwim.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests one member with scripted packets. Times are microseconds. */
class SwimTest {
    private final ScriptedSwim script = new ScriptedSwim();
    private final Swim swim = script.swim();

    @Test
    void probesIndirectlyThenSuspectsAndInformsTheSuspectInThePing() {
        SwimMessage.Ping ping = script.startAndPing();
        script.run(600 * MILLISECOND);
        String other = ping.target().equals("a") ? "b" : "a";
        ScriptedSwim.Sent request = script.last(SwimMessage.PingRequest.class);
        assertEquals(other + ":1", request.address());
        assertEquals(
                new SwimMessage.PingRequest(ping.nonce(), ping.target(), ping.target() + ":1"),
                request.packet().message());
        script.receive(other, new SwimMessage.Nack(ping.nonce(), ping.target()));
        script.run(600 * MILLISECOND);
        assertEquals(Health.SUSPECT, swim.member(ping.target()).health());
        assertEquals(0, swim.localHealthScore(), "the nack was received");
        script.sent().clear();
        script.run(10_000 * MILLISECOND);
        Member suspect = member(ping.target(), 1, Health.SUSPECT);
        assertTrue(
                script.sent().stream()
                        .anyMatch(
                                sent ->
                                        sent.address().equals(suspect.address())
                                                && isPing(sent)
                                                && sent.packet().updates().get(0).equals(suspect)));
    }

    private static boolean isPing(ScriptedSwim.Sent sent) {
        return sent.packet().message() instanceof SwimMessage.Ping;
    }

    @Test
    void missingNacksRaiseTheLocalHealthScoreAndTheProbeInterval() {
        script.startAndPing();
        script.run(8_000 * MILLISECOND);
        assertTrue(swim.localHealthScore() > 1, "score " + swim.localHealthScore());
        script.sent().clear();
        script.run(2_000 * MILLISECOND);
        assertTrue(script.sent().stream().filter(SwimTest::isPing).count() < 2);
    }

    @Test
    void pingRequestIsRelayedAndNackedWithoutAck() {
        script.startAndPing();
        script.receive("b", new SwimMessage.PingRequest(77, "a", "elsewhere:9"));
        ScriptedSwim.Sent ping = script.last(SwimMessage.Ping.class);
        assertEquals("a:1", ping.address(), "pings only the known address");
        script.run(300 * MILLISECOND);
        assertEquals(
                new SwimMessage.Nack(77, "a"),
                script.last(SwimMessage.Nack.class).packet().message());
        assertEquals("b:1", script.last(SwimMessage.Nack.class).address());
        script.receive("a", new SwimMessage.Ack(script.lastPing().nonce(), "a", 1, 2, 3));
        assertEquals(
                new SwimMessage.Ack(77, "a", 1, 2, 3),
                script.last(SwimMessage.Ack.class).packet().message());
    }

    @Test
    void refutesUnderAHigherIncarnationAndAcksOnlyPingsForItself() {
        swim.start(script.now());
        script.receive("a", new SwimMessage.Ping(1, "me", 5), member("me", 8, Health.DEAD));
        assertEquals(9, swim.self().incarnation());
        ScriptedSwim.Sent ack = script.last(SwimMessage.Ack.class);
        assertEquals(swim.self(), ack.packet().updates().get(0));
        assertEquals(1, ((SwimMessage.Ack) ack.packet().message()).nonce());
        script.receive("a", new SwimMessage.Gossip(), member("me", 8, Health.LEFT));
        assertEquals(9, swim.self().incarnation(), "an already refuted statement has no effect");
        script.receive("a", new SwimMessage.Gossip(), member("me", Long.MAX_VALUE, Health.DEAD));
        script.receive("a", new SwimMessage.Gossip(), member("me", 1L << 62, Health.DEAD));
        assertEquals(9, swim.self().incarnation(), "an implausible statement is ignored");
        script.sent().clear();
        script.receive("a", new SwimMessage.Ping(2, "someone else", 5));
        assertNull(script.last(SwimMessage.Ack.class));
    }

    @Test
    void deathOrLeaveStatedByAnotherMemberOnlyCausesASuspicion() {
        script.startAndPing();
        script.receive("b", new SwimMessage.Gossip(), member("a", 1, Health.DEAD));
        assertEquals(Health.SUSPECT, swim.member("a").health());
        script.receive("b", new SwimMessage.Gossip(), member("a", 1, Health.LEFT));
        assertEquals(Health.SUSPECT, swim.member("a").health());
        script.receive("a", new SwimMessage.Gossip(), member("a", 2, Health.ALIVE));
        assertEquals(member("a", 2, Health.ALIVE), swim.member("a"));
        script.receive("b", new SwimMessage.Gossip(), member("a", 1, Health.DEAD));
        assertEquals(member("a", 2, Health.ALIVE), swim.member("a"));
        script.receive("a", new SwimMessage.Gossip(), member("a", 2, Health.LEFT));
        assertEquals(
                Health.LEFT,
                swim.member("a").health(),
                "accepted immediately from the member itself");
    }

    @Test
    void noSuspicionExpiresAfterASuspensionBeforeTheSocketIsRead() {
        script.startAndPing();
        script.receive("b", new SwimMessage.Gossip(), member("a", 1, Health.SUSPECT));
        int before = script.changes().size();
        script.skip(3_600_000 * MILLISECOND);
        swim.wake(script.now());
        assertEquals(before, script.changes().size());
        assertTrue(swim.localHealthScore() >= 4);
        script.run(900 * MILLISECOND);
        assertEquals(before, script.changes().size(), "within the grace period");
        script.receive("a", new SwimMessage.Gossip(), member("a", 2, Health.ALIVE));
        assertEquals(Health.ALIVE, swim.member("a").health());
    }

    @Test
    void eventsThatAPacketMakesDueDoNotRaiseTheLocalHealthScore() {
        script.startAndPing();
        script.run(5 * MILLISECOND);
        for (int i = 0; i < 30; i++) {
            SwimMessage.Ping ping = script.lastPing();
            script.receive(
                    ping.target(),
                    new SwimMessage.Ack(ping.nonce(), ping.target(), 0, 0, 0),
                    member("c", i, Health.LEFT));
            script.receive("a", new SwimMessage.Digest(i << 4, i, 0, true));
            script.run(1_200 * MILLISECOND);
        }
        assertEquals(0, swim.localHealthScore());
    }

    @Test
    void tableIsBoundedAndEvictsTheLongestAbsent() {
        swim.start(script.now());
        script.receive(
                "a",
                new SwimMessage.Gossip(),
                member("absent", 1, Health.LEFT),
                member("a", 1, Health.ALIVE));
        for (int i = 0; i < 40; i++) {
            script.receive("a", new SwimMessage.Gossip(), member("m" + i, 1, Health.ALIVE));
        }
        assertEquals(20, swim.members().size());
        assertNull(swim.member("absent"));
        assertEquals(22, swim.ignoredUpdateCount());
        script.run(SwimSettings.FORGET_AFTER_MICROS + 600_000 * MILLISECOND);
        assertEquals(1, swim.members().size(), "absent members are finally forgotten");
    }

    @Test
    void leaveIsAnnouncedImmediatelyAndNotRefuted() {
        script.startAndPing();
        script.sent().clear();
        swim.leave(script.now());
        assertEquals(2, script.sent().size());
        script.sent().forEach(s -> assertTrue(s.packet().updates().contains(swim.self())));
        assertEquals(Health.LEFT, swim.self().health());
        script.receive("a", new SwimMessage.Gossip(), member("me", 9, Health.DEAD));
        assertEquals(4, swim.self().incarnation());
        assertFalse(swim.hasNameConflict("me"));
    }
}
