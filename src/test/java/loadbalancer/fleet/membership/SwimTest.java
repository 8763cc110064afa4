package loadbalancer.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** One member against scripted packets. */
class SwimTest {
    private static final long MS = 1_000;
    private static final long WALL = 1_700_000_000_000_000L;

    private record Sent(String address, Packet packet) {}

    private final List<Sent> sent = new ArrayList<>();
    private final List<Member> changes = new ArrayList<>();
    private final List<String> told = new ArrayList<>();
    private long now = 5_000 * MS;
    private final Swim swim =
            new Swim(
                    SwimSettings.of("me", "me:1", "z", List.of()).withMostMembers(20),
                    3,
                    42,
                    new SplittableRandom(1),
                    () -> WALL + now,
                    new SwimOutput() {
                        @Override
                        public void send(String address, Packet packet) {
                            sent.add(new Sent(address, packet));
                        }

                        @Override
                        public void changed(Member before, Member after) {
                            changes.add(after);
                        }

                        @Override
                        public void timed(String member, long offset, long roundTrip) {
                            told.add(member + ' ' + offset + ' ' + roundTrip);
                        }

                        @Override
                        public void warn(String line) {
                            told.add(line);
                        }
                    });

    private static Member member(String name, long incarnation, Health health) {
        return new Member(name, name + ":1", "", incarnation, name.hashCode(), health);
    }

    private void hear(String from, Body body, Member... rumours) {
        swim.received(now, new Packet(body, List.of(rumours)), from, from + ":1", from.hashCode());
    }

    /** Wakes it as it wishes until then. */
    private void run(long micros) {
        long end = now + micros;
        while (swim.nextWake() <= end) {
            now = Math.max(now, swim.nextWake());
            swim.wake(now);
        }
        now = end;
    }

    private <T extends Body> Sent last(Class<T> kind) {
        Sent last = null;
        for (Sent one : sent) {
            last = kind.isInstance(one.packet.body()) ? one : last;
        }
        return last;
    }

    /** It has met a and b, and its first ping of one of them is out. */
    private Body.Ping pinged() {
        swim.start(now);
        hear("a", new Body.Gossip(), member("a", 1, Health.ALIVE), member("b", 1, Health.ALIVE));
        while (last(Body.Ping.class) == null) {
            run(MS);
        }
        return (Body.Ping) last(Body.Ping.class).packet.body();
    }

    @Test
    void anAnswerGivesTheOffsetOfTheOthersClockUnlessOursWasSetMeanwhile() {
        Body.Ping ping = pinged();
        run(10 * MS);
        long there = ping.sentAt() + 5 * MS + 30_000 * MS;
        hear(ping.target(), new Body.Ack(ping.nonce(), ping.target(), 0, there, there + 2 * MS));
        hear(ping.target(), new Body.Ack(ping.nonce(), ping.target(), 0, there, there + 2 * MS));
        long took = now - (ping.sentAt() - WALL);
        long offset = (there - ping.sentAt() + (there + 2 * MS - WALL - now)) / 2;
        assertEquals(List.of(ping.target() + ' ' + offset + ' ' + (took - 2 * MS)), told);
        told.clear();
        ClockSample.take(
                0, WALL, 10 * MS, WALL + 500 * MS, new Body.Ack(1, "a", 0, WALL, WALL), null);
        ClockSample.take(
                0,
                WALL,
                10 * MS,
                WALL + 10 * MS,
                new Body.Ack(1, "a", 0, Long.MIN_VALUE, Long.MAX_VALUE),
                null);
    }

    @Test
    void asksOthersThenSuspectsAndTellsTheSuspectedInThePingItself() {
        Body.Ping ping = pinged();
        run(600 * MS);
        String other = ping.target().equals("a") ? "b" : "a";
        Sent request = last(Body.PingRequest.class);
        assertEquals(other + ":1", request.address);
        assertEquals(
                new Body.PingRequest(ping.nonce(), ping.target(), ping.target() + ":1"),
                request.packet.body());
        hear(other, new Body.Nack(ping.nonce(), ping.target()));
        run(600 * MS);
        assertEquals(Health.SUSPECT, swim.member(ping.target()).health());
        assertEquals(0, swim.doubt(), "the nack came");
        sent.clear();
        run(10_000 * MS);
        assertTrue(
                sent.stream()
                        .anyMatch(
                                s ->
                                        s.address.equals(ping.target() + ":1")
                                                && s.packet.body() instanceof Body.Ping
                                                && s.packet
                                                        .rumours()
                                                        .get(0)
                                                        .equals(
                                                                member(
                                                                        ping.target(),
                                                                        1,
                                                                        Health.SUSPECT))));
    }

    @Test
    void missingNacksMakeItDoubtItselfAndProbeSlower() {
        pinged();
        run(8_000 * MS);
        assertTrue(swim.doubt() > 1, "doubt " + swim.doubt());
        sent.clear();
        run(2_000 * MS);
        assertTrue(sent.stream().filter(s -> s.packet.body() instanceof Body.Ping).count() < 2);
    }

    @Test
    void pingsForAnotherAndSaysSoIfNothingComes() {
        pinged();
        hear("b", new Body.PingRequest(77, "a", "elsewhere:9"));
        Sent ping = last(Body.Ping.class);
        assertEquals("a:1", ping.address, "only to the address that it knows");
        run(300 * MS);
        assertEquals(new Body.Nack(77, "a"), last(Body.Nack.class).packet.body());
        assertEquals("b:1", last(Body.Nack.class).address);
        hear("a", new Body.Ack(((Body.Ping) ping.packet.body()).nonce(), "a", 1, 2, 3));
        assertEquals(new Body.Ack(77, "a", 1, 2, 3), last(Body.Ack.class).packet.body());
    }

    @Test
    void refutesWhatIsSaidOfItUnderAHigherIncarnationAndAnswersOnlyPingsForItself() {
        swim.start(now);
        hear("a", new Body.Ping(1, "me", 5), member("me", 8, Health.DEAD));
        assertEquals(9, swim.self().incarnation());
        Sent ack = last(Body.Ack.class);
        assertEquals(swim.self(), ack.packet.rumours().get(0));
        assertEquals(1, ((Body.Ack) ack.packet.body()).nonce());
        hear("a", new Body.Gossip(), member("me", 8, Health.LEFT));
        assertEquals(9, swim.self().incarnation(), "what is refuted already changes nothing");
        hear("a", new Body.Gossip(), member("me", Long.MAX_VALUE, Health.DEAD));
        hear("a", new Body.Gossip(), member("me", 1L << 62, Health.DEAD));
        assertEquals(9, swim.self().incarnation(), "an absurd one is nobody's");
        sent.clear();
        hear("a", new Body.Ping(2, "someone else", 5));
        assertNull(last(Body.Ack.class));
    }

    @Test
    void anothersWordOfDeathOrLeaveIsSuspicionUntilThereWasTimeToObject() {
        pinged();
        hear("b", new Body.Gossip(), member("a", 1, Health.DEAD));
        assertEquals(Health.SUSPECT, swim.member("a").health());
        hear("b", new Body.Gossip(), member("a", 1, Health.LEFT));
        assertEquals(Health.SUSPECT, swim.member("a").health());
        hear("a", new Body.Gossip(), member("a", 2, Health.ALIVE));
        assertEquals(member("a", 2, Health.ALIVE), swim.member("a"));
        hear("b", new Body.Gossip(), member("a", 1, Health.DEAD));
        assertEquals(member("a", 2, Health.ALIVE), swim.member("a"));
        hear("a", new Body.Gossip(), member("a", 2, Health.LEFT));
        assertEquals(Health.LEFT, swim.member("a").health(), "its own word counts at once");
    }

    @Test
    void afterAJumpOfTimeNothingIsOverBeforeItCouldReadItsSocket() {
        pinged();
        hear("b", new Body.Gossip(), member("a", 1, Health.SUSPECT));
        int before = changes.size();
        now += 3_600_000 * MS;
        swim.wake(now);
        assertEquals(before, changes.size());
        assertTrue(swim.doubt() >= 4);
        run(900 * MS);
        assertEquals(before, changes.size(), "a grace to read in");
        hear("a", new Body.Gossip(), member("a", 2, Health.ALIVE));
        assertEquals(Health.ALIVE, swim.member("a").health());
    }

    @Test
    void whatAPacketMakesDueAtOnceIsNoSignOfBeingLate() {
        pinged();
        run(5 * MS);
        for (int i = 0; i < 30; i++) {
            Body.Ping ping = (Body.Ping) last(Body.Ping.class).packet.body();
            hear(
                    ping.target(),
                    new Body.Ack(ping.nonce(), ping.target(), 0, 0, 0),
                    member("c", i, Health.LEFT));
            hear("a", new Body.Compare(i << 4, i, 0, true));
            run(1_200 * MS);
        }
        assertEquals(0, swim.doubt());
    }

    @Test
    void theTableIsBoundedAndTheOneGoneForLongestMakesRoom() {
        swim.start(now);
        hear("a", new Body.Gossip(), member("gone", 1, Health.LEFT), member("a", 1, Health.ALIVE));
        for (int i = 0; i < 40; i++) {
            hear("a", new Body.Gossip(), member("m" + i, 1, Health.ALIVE));
        }
        assertEquals(20, swim.members().size());
        assertNull(swim.member("gone"));
        assertEquals(22, swim.ignored());
        run(SwimSettings.FORGET_AFTER + 600_000 * MS);
        assertEquals(1, swim.members().size(), "those gone are forgotten in the end");
    }

    @Test
    void nothingThatIsReceivedThrowsOrAsksForMoreThanItsSize() {
        swim.start(now);
        Random random = new Random(3);
        for (int i = 0; i < 30_000; i++) {
            List<Member> rumours = new ArrayList<>();
            for (int j = random.nextInt(4); j > 0; j--) {
                rumours.add(
                        random.nextInt(20) == 0
                                ? null
                                : new Member(
                                        text(random),
                                        text(random) + ":1",
                                        text(random),
                                        number(random),
                                        random.nextInt(3),
                                        health(random)));
            }
            int before = sent.size();
            swim.received(
                    now,
                    new Packet(body(random), random.nextInt(50) == 0 ? null : rumours),
                    text(random),
                    "h" + random.nextInt(9) + ":1",
                    random.nextInt(3));
            assertTrue(sent.size() <= before + 2, "one packet asks for two at most");
            now += random.nextInt(100 * (int) MS);
            run(0);
            sent.forEach(
                    s ->
                            assertTrue(
                                    s.packet.rumours().size() <= 10
                                            && s.packet.rumours().stream()
                                                            .mapToInt(MemberRules::bytes)
                                                            .sum()
                                                    <= 700));
            sent.clear();
            assertTrue(swim.members().size() <= 20);
        }
    }

    private static String text(Random random) {
        String[] texts = {
            null, "", "me", "a", "b", "c", "x".repeat(70), "\u00e9\u0000", "m" + random.nextInt(60)
        };
        return texts[random.nextInt(texts.length)];
    }

    private static long number(Random random) {
        return random.nextBoolean() ? random.nextInt(9) : random.nextLong();
    }

    private static Health health(Random random) {
        return random.nextInt(20) == 0 ? null : Health.values()[random.nextInt(4)];
    }

    private static Body body(Random random) {
        return switch (random.nextInt(7)) {
            case 0 -> new Body.Ping(number(random), text(random), number(random));
            case 1 ->
                    new Body.Ack(
                            number(random),
                            text(random),
                            number(random),
                            number(random),
                            number(random));
            case 2 -> new Body.PingRequest(number(random), text(random), text(random));
            case 3 -> new Body.Nack(random.nextInt(2), text(random));
            case 4 ->
                    new Body.Compare(
                            number(random), number(random), number(random), random.nextBoolean());
            case 5 -> null;
            default -> new Body.Gossip();
        };
    }

    @Test
    void oneThatLeavesTellsSoAtOnceAndDoesNotObjectToIt() {
        pinged();
        sent.clear();
        swim.leave(now);
        assertEquals(2, sent.size());
        sent.forEach(s -> assertTrue(s.packet.rumours().contains(swim.self())));
        assertEquals(Health.LEFT, swim.self().health());
        hear("a", new Body.Gossip(), member("me", 9, Health.DEAD));
        assertEquals(4, swim.self().incarnation());
        assertFalse(swim.contested("me"));
    }
}
