package loadbalancer.faults.fleet;

import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.function.Predicate;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;

/** Assertions on a {@link SwimSimulation}, and predicates on the states of its members. */
final class SwimAssertions {
    private SwimAssertions() {}

    /** Runs the simulation until a condition holds; fails after the given seconds. */
    static void assertWithin(
            SwimSimulation simulation, double seconds, Predicate<SwimSimulation> condition) {
        assertNotEquals(-1, simulation.runUntil(seconds, condition));
    }

    static boolean isDead(Member member) {
        return member.health() == Health.DEAD;
    }

    static boolean isAlive(Member member) {
        return member.health() == Health.ALIVE;
    }

    static boolean isAbsent(Member member) {
        return member.health() == Health.DEAD || member.health() == Health.LEFT;
    }
}
