package loadbalancer.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The hard cases, each as a scenario of its own. */
class NamedScenariosTest extends Scenarios {
    private static VirtualWorld.Outcome play(long seed, double cuts, Fault... faults) {
        VirtualWorld.Outcome o =
                Campaign.play(new Plan(seed, 4, 30, 6_000, cuts, Arrays.asList(faults)));
        assertEquals(List.of(), o.breaches());
        assertTrue(o.requests() > 80, "seed " + seed + " asked " + o.requests());
        return o;
    }

    private static long count(VirtualWorld.Outcome o, String text) {
        return o.trace().lines().filter(l -> l.contains(text)).count();
    }

    @Test
    void withoutFaultsEverythingIsServed() {
        VirtualWorld.Outcome o = play(1, 0);
        assertEquals(o.requests(), count(o, "client got 200"));
    }

    /**
     * Turns of up to a quarter of a second: answers come late or are refusals, and none is lost.
     */
    @Test
    void aProcessShortOfProcessorTimeLosesNothing() {
        for (long seed = 1; seed <= 30; seed++) {
            VirtualWorld.Outcome o =
                    play(
                            seed,
                            0.2,
                            fault(Fault.Kind.STARVED, 1_000, 4_000, 0, 1),
                            fault(Fault.Kind.HANG, 1_200, 3_000, (int) seed, 0.5),
                            fault(Fault.Kind.BURST, 2_000, 1_500, 0, 0.6));
            assertTrue(count(o, "client got 200") > 0.3 * o.requests(), "seed " + seed);
        }
    }

    @Test
    void aZoneIsLostDuringADrain() {
        for (long seed = 1; seed <= 15; seed++) {
            play(
                    seed,
                    0,
                    fault(Fault.Kind.DRAIN, 1_500, 3_000, 0, 1),
                    fault(Fault.Kind.ZONE_VANISH, 2_500, 2_500, 1, 1));
        }
    }

    @Test
    void aWatchAnswersWithAnOlderVersion() {
        for (long seed = 1; seed <= 15; seed++) {
            play(
                    seed,
                    0.5,
                    fault(Fault.Kind.DIE, 1_000, 1_500, 1, 1),
                    fault(Fault.Kind.DISCOVERY_OLD, 2_000, 0, 0, 1),
                    fault(Fault.Kind.DISCOVERY_OLD, 3_500, 0, 0, 1));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "BREAK",
                "BREAK_MID",
                "SPOILT",
                "TWICE",
                "HANG",
                "ERRORS",
                "FULL",
                "INTERIM"
            })
    void anUpstreamFailsEveryRequestInOneWay(String kind) {
        for (long seed = 1; seed <= 6; seed++) {
            VirtualWorld.Outcome o =
                    play(
                            seed,
                            0.3,
                            fault(Fault.Kind.valueOf(kind), 1_000, 3_000, 0, 1),
                            fault(Fault.Kind.valueOf(kind), 1_500, 2_000, 1, 1));
            assertTrue(count(o, "client got 200") > 0.5 * o.requests(), kind);
        }
    }

    /**
     * Attempts are lowered between an attempt's end and its repeat: open requests keep the old
     * number.
     */
    @Test
    void newSettingsComeBetweenAnAttemptAndItsRepeat() {
        for (long seed = 1; seed <= 15; seed++) {
            play(
                    seed,
                    0,
                    fault(Fault.Kind.ERRORS, 800, 4_000, 0, 0.8),
                    fault(Fault.Kind.ERRORS, 800, 4_000, 1, 0.8),
                    fault(Fault.Kind.RELOAD, 2_000, 0, 0, 0),
                    fault(Fault.Kind.RELOAD_BAD, 3_000, 0, 0, 0.5));
        }
    }

    @Test
    void aSuccessorTakesOverWhileAServerIsColdAndAnotherDrains() {
        for (long seed = 1; seed <= 15; seed++) {
            VirtualWorld.Outcome o =
                    play(
                            seed,
                            0,
                            fault(Fault.Kind.DIE, 1_000, 800, 0, 1),
                            fault(Fault.Kind.DRAIN, 1_800, 3_000, 2, 1),
                            fault(Fault.Kind.HAND_OVER, 2_000, 0, 0, 1));
            assertEquals(1, count(o, "balancer1 listens true"));
            assertEquals(1, count(o, "balancer0 has stopped"));
        }
    }

    @Test
    void clientsLeaveWhileTheirBodiesAreStreamed() {
        for (long seed = 1; seed <= 15; seed++) {
            VirtualWorld.Outcome o =
                    play(
                            seed,
                            0.8,
                            fault(Fault.Kind.LEAVERS, 500, 5_000, 0, 1),
                            fault(Fault.Kind.VANISH, 1_500, 2_000, 1, 1));
            assertTrue(count(o, "client leaves") > 5);
        }
    }

    /** Nothing comes back from there and nothing is taken: a large body stops half way. */
    @Test
    void aLargeBodyIsHeldUpByAnUpstreamThatTakesNothing() {
        for (long seed = 1; seed <= 40; seed++) {
            play(seed, 0, fault(Fault.Kind.ZONE_VANISH, 1_000, 5_000, (int) seed, 1));
        }
    }

    @Test
    void theProcessIsKilledAndStartsFromAnOldListWithoutDiscovery() {
        for (long seed = 1; seed <= 15; seed++) {
            play(
                    seed,
                    0,
                    fault(Fault.Kind.REPLACE, 1_000, 500, 1, 1),
                    fault(Fault.Kind.KILL, 2_000, 300, 0, 1),
                    fault(Fault.Kind.DISCOVERY_DOWN, 1_900, 2_000, 0, 1));
        }
    }

    /** Neither the two together nor each for itself may give a cold server a warm one's share. */
    @Test
    void twoProcessesSendToOneColdUpstreamDuringAHandOver() {
        long cold = 0;
        long warm = 0;
        for (long seed = 1; seed <= 15; seed++) {
            VirtualWorld.Outcome o =
                    play(
                            seed,
                            0,
                            fault(Fault.Kind.DIE, 2_000, 1_000, 0, 1),
                            fault(Fault.Kind.HAND_OVER, 2_900, 0, 0, 1));
            cold += between(o, "u0 got", 3_200, 4_700);
            warm +=
                    between(o, "u1 got", 3_200, 4_700)
                            + between(o, "u2 got", 3_200, 4_700)
                            + between(o, "u3 got", 3_200, 4_700);
        }
        assertTrue(
                cold < 0.12 * warm / 3, cold + " at the cold one, " + warm + " at three warm ones");
        assertTrue(cold > 0);
    }

    /**
     * The drain begins while the watch is lost, and lasts long enough to show that nobody heard of
     * it.
     */
    @Test
    void aDrainBeginsWhileTheWatchIsLost() {
        for (long seed = 1; seed <= 15; seed++) {
            VirtualWorld.Outcome o =
                    Campaign.play(
                            new Plan(
                                    seed,
                                    4,
                                    30,
                                    16_000,
                                    0,
                                    List.of(
                                            fault(Fault.Kind.DISCOVERY_DOWN, 1_000, 700, 0, 1),
                                            fault(Fault.Kind.DRAIN, 1_200, 5_000, 0, 1))));
            assertEquals(List.of(), o.breaches());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "PIPELINERS",
                "SLOW_READERS",
                "REPEATERS",
                "UPSTREAM_QUEUE_FULL",
                "QUEUE_FULL",
                "DESCRIPTORS",
                "NO_MEMORY"
            })
    void clientsAreOddOrSomethingRunsOut(String kind) {
        for (long seed = 1; seed <= 15; seed++) {
            VirtualWorld.Outcome o =
                    play(
                            seed,
                            0.2,
                            fault(Fault.Kind.valueOf(kind), 1_000, 2_000, 0, 0.5),
                            fault(Fault.Kind.ERRORS, 1_500, 1_000, 1, 1));
            long after = between(o, "client asked", 4_500, 5_500);
            assertTrue(after > 5, "clients are taken again: " + after);
        }
    }

    @Test
    void theWallClockStepsWhileServersStart() {
        for (long seed = 1; seed <= 15; seed++) {
            play(
                    seed,
                    0,
                    fault(Fault.Kind.CLOCK_STEP, 900, 0, 0, 1),
                    fault(Fault.Kind.DIE, 1_000, 500, 1, 1),
                    fault(Fault.Kind.CLOCK_STEP, 2_000, 0, 0, 0));
        }
    }
}
