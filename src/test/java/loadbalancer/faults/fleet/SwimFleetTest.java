package loadbalancer.faults.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.faults.fleet.VirtualMember.Origin;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.membership.SwimMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Membership of many in virtual time. Times in seconds are in periods as well. */
class SwimFleetTest {
    private static final long SECOND = 1_000_000;
    private static final int MANY = 100;

    private static boolean dead(Member member) {
        return member.health() == Health.DEAD;
    }

    private static boolean alive(Member member) {
        return member.health() == Health.ALIVE;
    }

    private static boolean gone(Member member) {
        return member.health() == Health.DEAD || member.health() == Health.LEFT;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void killedOnesAreKnownDeadToAllWithinThirtyPeriods(long seed) {
        SwimWorld world = SwimWorld.warm(seed, MANY);
        world.process(7).kill();
        world.process(93).kill();
        assertNotEquals(
                -1,
                world.until(
                        30,
                        w ->
                                w.holding(7, SwimFleetTest::dead) == MANY - 2
                                        && w.holding(93, SwimFleetTest::dead) == MANY - 2));
        assertEquals(0, world.wrongDeaths());
    }

    @Test
    void aThousandCostEachNoMoreThanTenAndKnowOfADeathWithinFortyPeriods() {
        double[] ten = traffic(SwimWorld.warm(1, 10));
        double[] hundred = traffic(SwimWorld.warm(1, MANY));
        SwimWorld world = SwimWorld.warm(1, 1_000);
        double[] thousand = traffic(world);
        for (int i = 0; i < 2; i++) {
            assertTrue(
                    hundred[i] < 1.3 * ten[i] && thousand[i] < 1.3 * ten[i],
                    ten[i] + " " + hundred[i] + " " + thousand[i]);
        }
        world.process(500).kill();
        assertNotEquals(-1, world.until(40, w -> w.holding(500, SwimFleetTest::dead) == 999));
        assertEquals(0, world.wrongDeaths());
    }

    /** Packets and bytes a second and member. */
    private static double[] traffic(SwimWorld world) {
        long[] before = world.traffic();
        world.fleet().run(10 * SECOND);
        long[] after = world.traffic();
        double seconds = 10.0 * world.fleet().processes().size();
        return new double[] {(after[0] - before[0]) / seconds, (after[1] - before[1]) / seconds};
    }

    @Test
    void aHundredThatKnowOnlySeedsFindEachOtherThoughOneSeedNeverStarts() {
        SwimWorld world = new SwimWorld(3, MANY);
        for (int i = 1; i < MANY; i++) {
            world.start(i, 0);
        }
        assertNotEquals(
                -1, world.until(60, w -> w.swim(50).members().size() == MANY - 1 && w.agree()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void underLossDelayAndRepetitionHardlyAHealthyOneIsEverHeldDead(long seed) {
        SwimWorld world = SwimWorld.warm(seed, MANY);
        world.fleet().conditions().chances(0.1, 0.05, 0.05);
        world.fleet().run(120 * SECOND);
        assertTrue(
                world.wronglyDead().size() <= 1, world.wronglyDead() + " " + world.wrongDeaths());
        world.process(40).kill();
        assertNotEquals(-1, world.until(60, w -> w.holding(40, SwimFleetTest::dead) == MANY - 1));
    }

    @Test
    void stopsOfFiveSecondsKillNobody() {
        SwimWorld world = SwimWorld.warm(4, MANY);
        for (int i = 0; i < 10; i++) {
            for (int who : new int[] {3 * i, 3 * i + 50}) {
                VirtualProcess<Packet> process = world.process(who);
                process.stop();
                world.fleet().in(5 * SECOND, process::proceed);
            }
            world.fleet().run(8 * SECOND);
        }
        assertEquals(0, world.wrongDeaths() + world.stoppedDeaths());
        assertNotEquals(-1, world.until(20, SwimWorld::agree));
    }

    @Test
    void oneThatWakesAfterBeingHeldDeadDoubtsItselfHoldsNobodyDeadAndIsBackSoon() {
        SwimWorld world = SwimWorld.warm(5, MANY);
        VirtualProcess<Packet> process = world.process(20);
        process.stop();
        assertNotEquals(-1, world.until(60, w -> w.holding(20, SwimFleetTest::dead) == MANY - 1));
        world.fleet().run(300 * SECOND);
        process.proceed();
        assertTrue(world.swim(20).localHealthScore() > 0);
        assertNotEquals(-1, world.until(20, w -> w.holding(20, SwimFleetTest::alive) == MANY - 1));
        world.fleet().run(60 * SECOND);
        assertEquals(0, world.wrongDeaths());
        assertEquals(0, world.swim(20).localHealthScore());
    }

    @Test
    void oneThatIsCutOffForSecondsRefutesTheSuspicion() {
        SwimWorld world = SwimWorld.warm(6, MANY);
        String address = SwimWorld.address(30);
        world.fleet().conditions().cutWhere((from, to) -> to.equals(address));
        assertNotEquals(
                -1, world.until(10, w -> w.holding(30, m -> m.health() == Health.SUSPECT) > 50));
        long before = world.swim(30).self().incarnation();
        world.fleet().conditions().heal();
        assertNotEquals(
                -1,
                world.until(
                        10,
                        w -> w.holding(30, m -> alive(m) && m.incarnation() > before) == MANY - 1));
        world.fleet().run(60 * SECOND);
        assertEquals(0, world.wrongDeaths());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void halvesHoldEachOtherDeadAndMeetAgain(long seed) {
        SwimWorld world = SwimWorld.warm(seed, MANY);
        Set<String> half = new HashSet<>();
        for (int i = 0; i < MANY / 2; i++) {
            half.add(SwimWorld.address(i));
        }
        world.fleet().conditions().partition(half);
        assertNotEquals(
                -1,
                world.until(
                        200,
                        w ->
                                w.fleet().running().stream()
                                        .allMatch(
                                                p ->
                                                        w.swimOf(p).countPeers(Health.DEAD)
                                                                == MANY / 2)));
        long deaths = world.wrongDeaths();
        world.fleet().conditions().heal();
        assertNotEquals(-1, world.until(90, SwimWorld::agree));
        assertEquals(deaths, world.wrongDeaths(), "nobody dies of the meeting");
    }

    @Test
    void aRestartWithoutItsStateExceedsWhatIsHeldAndOldWordsNeverBringBackTheDead() {
        SwimWorld world = SwimWorld.warm(8, MANY);
        Member old = world.swim(10).self();
        Member raised = old.with(40, Health.SUSPECT);
        send(world, 11, 10, raised);
        world.fleet().run(5 * SECOND);
        assertEquals(41, world.swim(10).self().incarnation());
        world.start(10, 0);
        assertNotEquals(
                -1,
                world.until(
                        15,
                        w ->
                                w.holding(
                                                10,
                                                m ->
                                                        alive(m)
                                                                && m.incarnation() > 41
                                                                && m.bootId()
                                                                        == w.process(10)
                                                                                .origin()
                                                                                .bootId())
                                        == MANY - 1));
        assertTrue(world.memberOf(world.process(10)).warnings().isEmpty());
        world.process(10).kill();
        assertNotEquals(-1, world.until(40, w -> w.holding(10, SwimFleetTest::dead) == MANY - 1));
        for (int i = 0; i < 20; i++) {
            Member held = world.swim(20 + i).member(SwimWorld.name(10));
            send(
                    world,
                    12,
                    20 + i,
                    raised.with(41, Health.ALIVE),
                    held.with(held.incarnation(), Health.ALIVE));
            world.fleet().run(SECOND / 10);
        }
        assertEquals(MANY - 1, world.holding(10, SwimFleetTest::dead));
    }

    private static void send(SwimWorld world, int from, int to, Member... said) {
        Origin origin = world.process(from).origin();
        world.fleet()
                .carry(
                        origin,
                        SwimWorld.address(to),
                        new Packet(new SwimMessage.Gossip(), List.of(said)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"SUSPECT", "DEAD", "LEFT"})
    void aLiarThatSaysSoOfAllHarmsNobody(Health lie) {
        SwimWorld world = SwimWorld.warm(9, MANY);
        List<Member> all = new ArrayList<>(world.swim(0).members());
        SplittableRandom random = new SplittableRandom(9);
        for (int packet = 0; packet < 20 * 15; packet++) {
            int to = 1 + random.nextInt(MANY - 1);
            List<Member> lies = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                Member now = world.swim(to).member(all.get(1 + random.nextInt(MANY - 1)).name());
                lies.add(now.with(now.incarnation() + random.nextInt(2), lie));
            }
            send(world, 0, to, lies.toArray(Member[]::new));
            world.fleet().run(SECOND / 20);
        }
        int held = 0;
        for (int i = 1; i < MANY; i++) {
            held += world.holding(i, SwimFleetTest::gone);
        }
        assertEquals(0, held);
        assertEquals(0, world.wrongDeaths());
        assertNotEquals(-1, world.until(20, SwimWorld::agree));
    }

    @Test
    void aNameUsedByTwoMachinesIsContestedAtAllUntilOneOfThemIsGone() {
        SwimWorld world = SwimWorld.warm(10, MANY);
        VirtualProcess<Packet> twin = world.startAt(60, "10.9.9.9:7400", 0);
        String name = SwimWorld.name(60);
        assertNotEquals(
                -1,
                world.until(
                        60,
                        w ->
                                w.fleet().running().stream()
                                        .allMatch(p -> w.swimOf(p).hasNameConflict(name))));
        for (int i = 0; i < 20; i++) {
            world.fleet().run(5 * SECOND);
            assertTrue(
                    world.fleet().running().stream()
                            .allMatch(p -> world.swimOf(p).hasNameConflict(name)));
        }
        for (VirtualProcess<Packet> process : world.fleet().running()) {
            assertEquals(1, world.memberOf(process).warnings().size());
            assertTrue(world.memberOf(process).warnings().get(0).contains(twin.origin().address()));
            assertFalse(world.swimOf(process).hasNameConflict(SwimWorld.name(61)));
        }
        twin.kill();
        assertNotEquals(
                -1,
                world.until(
                        90,
                        w ->
                                w.fleet().running().stream()
                                        .noneMatch(p -> w.swimOf(p).hasNameConflict(name))));
        assertNotEquals(-1, world.until(20, SwimWorld::agree));
    }

    @Test
    void aSuccessorAtTheAddressOrAMoveToAnotherIsNoContestAndNoDeath() {
        SwimWorld world = SwimWorld.warm(11, MANY);
        for (int i = 0; i < 5; i++) {
            world.start(60, i % 2 == 0 ? world.swim(60).self().incarnation() : 0);
            world.process(61).kill();
            world.startAt(61, "10.9.9." + (i + 1) + ":7400", 0);
            if (i > 0) {
                world.fleet().at("10.9.9." + i + ":7400").kill();
            }
            world.fleet().run(20 * SECOND);
        }
        assertNotEquals(-1, world.until(20, SwimWorld::agree));
        assertEquals(0, world.wrongDeaths());
        for (VirtualProcess<Packet> process : world.fleet().running()) {
            assertEquals(List.of(), world.memberOf(process).warnings());
        }
    }

    @Test
    void oneThatLeavesIsKnownToHaveLeftAndNobodyIsWrongAboutOthers() {
        SwimWorld world = SwimWorld.warm(12, MANY);
        world.process(33).leave(SECOND);
        assertNotEquals(
                -1,
                world.until(20, w -> w.holding(33, m -> m.health() == Health.LEFT) == MANY - 1));
        assertTrue(world.agree());
    }

    @Test
    void clocksOfOthersAreKnownToHalfTheWayOfADatagram() {
        SwimWorld world = SwimWorld.warm(13, 10);
        world.process(4).setWallOffset(-30 * SECOND);
        world.memberOf(world.process(1)).samples().clear();
        world.fleet().run(60 * SECOND);
        List<SwimMember.Sample> samples = world.memberOf(world.process(1)).samples();
        assertTrue(samples.size() > 40);
        for (SwimMember.Sample sample : samples) {
            long offset = sample.member().equals(SwimWorld.name(4)) ? -30 * SECOND : 0;
            assertTrue(
                    Math.abs(sample.offsetMicros() - offset) <= sample.roundTripMicros() / 2 + 1
                            && sample.roundTripMicros() <= 1_000,
                    sample.toString());
        }
    }

    @Test
    void theSameSeedGivesTheSameTraceAndAnotherAnother() {
        assertEquals(trace(1), trace(1));
        assertNotEquals(trace(1), trace(2));
    }

    private static long trace(long seed) {
        SwimWorld world = SwimWorld.cold(seed, 30);
        world.fleet().conditions().chances(0.2, 0.1, 0.1);
        world.fleet().run(30 * SECOND);
        return world.fleet().trace();
    }
}
