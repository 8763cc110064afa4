package loadbalancer.faults.fleet;

import static loadbalancer.faults.fleet.SwimAssertions.assertWithin;
import static loadbalancer.faults.fleet.SwimAssertions.isAlive;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Packet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the membership of large fleets in virtual time. The probe interval is one second. */
class SwimFleetTest {
    private static final long SECOND = 1_000_000;
    private static final int SIZE = 100;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void killedMembersAreDetectedByAllWithinThirtyIntervals(long seed) {
        SwimSimulation simulation = SwimSimulation.converged(seed, SIZE);
        simulation.process(7).kill();
        simulation.process(93).kill();
        assertWithin(
                simulation,
                30,
                s ->
                        s.countObservers(7, SwimAssertions::isDead) == SIZE - 2
                                && s.countObservers(93, SwimAssertions::isDead) == SIZE - 2);
        assertEquals(0, simulation.falseDetections());
    }

    @Test
    void trafficIsIndependentOfTheSizeAndAThousandDetectADeathWithinFortyIntervals() {
        SwimSimulation.Traffic ten = traffic(SwimSimulation.converged(1, 10));
        SwimSimulation.Traffic hundred = traffic(SwimSimulation.converged(1, SIZE));
        SwimSimulation simulation = SwimSimulation.converged(1, 1_000);
        SwimSimulation.Traffic thousand = traffic(simulation);
        assertNoMoreThan(1.3, ten, hundred, 10);
        assertNoMoreThan(1.3, ten, thousand, 100);
        simulation.process(500).kill();
        assertWithin(simulation, 40, s -> s.countObservers(500, SwimAssertions::isDead) == 999);
        assertEquals(0, simulation.falseDetections());
    }

    /** Returns the traffic of ten seconds. */
    private static SwimSimulation.Traffic traffic(SwimSimulation simulation) {
        SwimSimulation.Traffic before = simulation.traffic();
        simulation.network().run(10 * SECOND);
        return simulation.traffic().since(before);
    }

    private static void assertNoMoreThan(
            double factor,
            SwimSimulation.Traffic smallFleet,
            SwimSimulation.Traffic fleet,
            int times) {
        assertTrue(
                fleet.packets() < factor * times * smallFleet.packets(), smallFleet + " " + fleet);
        assertTrue(fleet.bytes() < factor * times * smallFleet.bytes(), smallFleet + " " + fleet);
    }

    @Test
    void membersJoinThroughSeedsThoughOneSeedNeverStarts() {
        SwimSimulation simulation = new SwimSimulation(3, SIZE);
        for (int i = 1; i < SIZE; i++) {
            simulation.start(i, 0);
        }
        assertWithin(
                simulation, 60, s -> s.swim(50).members().size() == SIZE - 1 && s.hasConverged());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void lossReorderingAndDuplicationMakeAtMostOneRunningMemberConsideredDead(long seed) {
        SwimSimulation simulation = SwimSimulation.converged(seed, SIZE);
        simulation.network().conditions().setProbabilities(0.1, 0.05, 0.05);
        simulation.network().run(120 * SECOND);
        assertTrue(
                simulation.falselyDead().size() <= 1,
                simulation.falselyDead() + " " + simulation.falseDetections());
        simulation.process(40).kill();
        assertWithin(simulation, 60, s -> s.countObservers(40, SwimAssertions::isDead) == SIZE - 1);
    }

    @Test
    void suspensionsOfFiveSecondsCauseNoDetection() {
        SwimSimulation simulation = SwimSimulation.converged(4, SIZE);
        for (int i = 0; i < 10; i++) {
            for (int number : new int[] {3 * i, 3 * i + 50}) {
                VirtualProcess<Packet> process = simulation.process(number);
                process.suspend();
                simulation.network().schedule(5 * SECOND, process::resume);
            }
            simulation.network().run(8 * SECOND);
        }
        assertEquals(0, simulation.falseDetections() + simulation.suspendedDetections());
        assertWithin(simulation, 20, SwimSimulation::hasConverged);
    }

    @Test
    void memberThatResumesAfterItsDetectionRaisesItsLocalHealthScoreAndIsAliveAgain() {
        SwimSimulation simulation = SwimSimulation.converged(5, SIZE);
        VirtualProcess<Packet> process = simulation.process(20);
        process.suspend();
        assertWithin(simulation, 60, s -> s.countObservers(20, SwimAssertions::isDead) == SIZE - 1);
        simulation.network().run(300 * SECOND);
        process.resume();
        assertTrue(simulation.swim(20).localHealthScore() > 0);
        assertWithin(
                simulation, 20, s -> s.countObservers(20, SwimAssertions::isAlive) == SIZE - 1);
        simulation.network().run(60 * SECOND);
        assertEquals(0, simulation.falseDetections());
        assertEquals(0, simulation.swim(20).localHealthScore());
    }

    @Test
    void memberThatIsPartitionedForSecondsRefutesTheSuspicion() {
        SwimSimulation simulation = SwimSimulation.converged(6, SIZE);
        String address = SwimSimulation.address(30);
        simulation.network().conditions().cutWhere((from, to) -> to.equals(address));
        assertWithin(
                simulation, 10, s -> s.countObservers(30, m -> m.health() == Health.SUSPECT) > 50);
        long before = simulation.swim(30).self().incarnation();
        simulation.network().conditions().heal();
        assertWithin(
                simulation,
                10,
                s -> s.countObservers(30, m -> isAlive(m) && m.incarnation() > before) == SIZE - 1);
        simulation.network().run(60 * SECOND);
        assertEquals(0, simulation.falseDetections());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void halvesOfAPartitionConsiderEachOtherDeadAndConvergeAfterIt(long seed) {
        SwimSimulation simulation = SwimSimulation.converged(seed, SIZE);
        Set<String> half = new HashSet<>();
        for (int i = 0; i < SIZE / 2; i++) {
            half.add(SwimSimulation.address(i));
        }
        simulation.network().conditions().partition(half);
        assertWithin(
                simulation,
                200,
                s ->
                        s.network().running().stream()
                                .allMatch(p -> s.swimOf(p).countPeers(Health.DEAD) == SIZE / 2));
        long detections = simulation.falseDetections();
        simulation.network().conditions().heal();
        assertWithin(simulation, 90, SwimSimulation::hasConverged);
        assertEquals(detections, simulation.falseDetections(), "the merge causes no detection");
    }

    @Test
    void memberThatLeavesIsKnownToHaveLeft() {
        SwimSimulation simulation = SwimSimulation.converged(12, SIZE);
        simulation.process(33).leave(SECOND);
        assertWithin(
                simulation,
                20,
                s -> s.countObservers(33, m -> m.health() == Health.LEFT) == SIZE - 1);
        assertTrue(simulation.hasConverged());
    }

    @Test
    void clockOffsetsAreExactToHalfOfTheRoundTrip() {
        SwimSimulation simulation = SwimSimulation.converged(13, 10);
        simulation.process(4).setWallOffsetMicros(-30 * SECOND);
        simulation.memberOf(simulation.process(1)).samples().clear();
        simulation.network().run(60 * SECOND);
        List<SwimMember.Sample> samples = simulation.memberOf(simulation.process(1)).samples();
        assertTrue(samples.size() > 40);
        for (SwimMember.Sample sample : samples) {
            long offset = sample.member().equals(SwimSimulation.name(4)) ? -30 * SECOND : 0;
            assertTrue(
                    Math.abs(sample.offsetMicros() - offset) <= sample.roundTripMicros() / 2 + 1
                            && sample.roundTripMicros() <= 1_000,
                    sample.toString());
        }
    }

    @Test
    void traceDependsOnlyOnTheSeed() {
        assertEquals(trace(1), trace(1));
        assertNotEquals(trace(1), trace(2));
    }

    private static long trace(long seed) {
        SwimSimulation simulation = SwimSimulation.unjoined(seed, 30);
        simulation.network().conditions().setProbabilities(0.2, 0.1, 0.1);
        simulation.network().run(30 * SECOND);
        return simulation.network().traceHash();
    }
}
