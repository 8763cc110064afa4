package loadbalancer.faults.fleet;

import static loadbalancer.faults.fleet.SwimAssertions.assertWithin;
import static loadbalancer.faults.fleet.SwimAssertions.isAlive;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.faults.fleet.VirtualMember.Origin;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.membership.SwimMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests restarts, moves, false statements and two machines with one name, in virtual time. */
class SwimIdentityTest {
    private static final long SECOND = 1_000_000;
    private static final int SIZE = 100;

    /** Returns whether a statement is about the restarted process of member 10. */
    private static boolean isRestarted(SwimSimulation simulation, Member member) {
        return isAlive(member)
                && member.incarnation() > 41
                && member.bootId() == simulation.process(10).origin().bootId();
    }

    @Test
    void restartWithoutStateExceedsTheKnownIncarnationAndOldStatementsDoNotReviveTheMember() {
        SwimSimulation simulation = SwimSimulation.converged(8, SIZE);
        Member old = simulation.swim(10).self();
        Member raised = old.with(40, Health.SUSPECT);
        send(simulation, 11, 10, raised);
        simulation.network().run(5 * SECOND);
        assertEquals(41, simulation.swim(10).self().incarnation());
        simulation.start(10, 0);
        assertWithin(simulation, 15, s -> s.countObservers(10, m -> isRestarted(s, m)) == SIZE - 1);
        assertTrue(simulation.memberOf(simulation.process(10)).warnings().isEmpty());
        simulation.process(10).kill();
        assertWithin(simulation, 40, s -> s.countObservers(10, SwimAssertions::isDead) == SIZE - 1);
        for (int i = 0; i < 20; i++) {
            Member known = simulation.swim(20 + i).member(SwimSimulation.name(10));
            send(
                    simulation,
                    12,
                    20 + i,
                    raised.with(41, Health.ALIVE),
                    known.with(known.incarnation(), Health.ALIVE));
            simulation.network().run(SECOND / 10);
        }
        assertEquals(SIZE - 1, simulation.countObservers(10, SwimAssertions::isDead));
    }

    private static void send(SwimSimulation simulation, int from, int to, Member... statements) {
        Origin origin = simulation.process(from).origin();
        simulation
                .network()
                .send(
                        origin,
                        SwimSimulation.address(to),
                        new Packet(new SwimMessage.Gossip(), List.of(statements)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"SUSPECT", "DEAD", "LEFT"})
    void falseStatementsAboutAllAreRefuted(Health falseHealth) {
        SwimSimulation simulation = SwimSimulation.converged(9, SIZE);
        List<Member> all = new ArrayList<>(simulation.swim(0).members());
        SplittableRandom random = new SplittableRandom(9);
        for (int packet = 0; packet < 20 * 15; packet++) {
            int to = 1 + random.nextInt(SIZE - 1);
            List<Member> falseStatements = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                Member now =
                        simulation.swim(to).member(all.get(1 + random.nextInt(SIZE - 1)).name());
                falseStatements.add(now.with(now.incarnation() + random.nextInt(2), falseHealth));
            }
            send(simulation, 0, to, falseStatements.toArray(Member[]::new));
            simulation.network().run(SECOND / 20);
        }
        int absentCount = 0;
        for (int i = 1; i < SIZE; i++) {
            absentCount += simulation.countObservers(i, SwimAssertions::isAbsent);
        }
        assertEquals(0, absentCount);
        assertEquals(0, simulation.falseDetections());
        assertWithin(simulation, 20, SwimSimulation::hasConverged);
    }

    /** Returns how many running members know of a conflict of that name. */
    private static long countConflicts(SwimSimulation simulation, String name) {
        return simulation.network().running().stream()
                .filter(process -> simulation.swimOf(process).hasNameConflict(name))
                .count();
    }

    @Test
    void nameOfTwoMachinesHasAConflictAtAllMembersUntilOneIsKilled() {
        SwimSimulation simulation = SwimSimulation.converged(10, SIZE);
        VirtualProcess<Packet> secondMachine = simulation.startAt(60, "10.9.9.9:7400", 0);
        String name = SwimSimulation.name(60);
        assertWithin(simulation, 60, s -> countConflicts(s, name) == SIZE + 1);
        for (int i = 0; i < 20; i++) {
            simulation.network().run(5 * SECOND);
            assertEquals(SIZE + 1, countConflicts(simulation, name));
        }
        for (VirtualProcess<Packet> process : simulation.network().running()) {
            List<String> warnings = simulation.memberOf(process).warnings();
            assertEquals(1, warnings.size());
            assertTrue(warnings.get(0).contains(secondMachine.origin().address()));
        }
        assertEquals(0, countConflicts(simulation, SwimSimulation.name(61)));
        secondMachine.kill();
        assertWithin(simulation, 90, s -> countConflicts(s, name) == 0);
        assertWithin(simulation, 20, SwimSimulation::hasConverged);
    }

    @Test
    void restartAtTheSameAddressOrMoveToAnotherCausesNoConflictAndNoDetection() {
        SwimSimulation simulation = SwimSimulation.converged(11, SIZE);
        for (int i = 0; i < 5; i++) {
            simulation.start(60, i % 2 == 0 ? simulation.swim(60).self().incarnation() : 0);
            simulation.process(61).kill();
            simulation.startAt(61, "10.9.9." + (i + 1) + ":7400", 0);
            if (i > 0) {
                simulation.network().processAt("10.9.9." + i + ":7400").kill();
            }
            simulation.network().run(20 * SECOND);
        }
        assertWithin(simulation, 20, SwimSimulation::hasConverged);
        assertEquals(0, simulation.falseDetections());
        for (VirtualProcess<Packet> process : simulation.network().running()) {
            assertEquals(List.of(), simulation.memberOf(process).warnings());
        }
    }
}
