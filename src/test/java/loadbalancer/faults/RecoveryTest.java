package loadbalancer.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import loadbalancer.proxy.LoadBalancerFactory;
import org.junit.jupiter.api.Test;

/** A process that starts from what another one knew, with discovery late, down or wrong. */
class RecoveryTest extends Scenarios {
    private static final byte[] NOISE = "noise".getBytes(StandardCharsets.US_ASCII);

    private static final int SEEDS = 5;

    private static VirtualWorld.Outcome play(
            long seed, boolean remembers, Consumer<VirtualWorld> more, Fault... faults) {
        Plan plan = new Plan(seed, 4, 40, 10_000, 0, Arrays.asList(faults));
        VirtualWorld.Outcome o =
                VirtualWorld.play(
                        plan,
                        LoadBalancerFactory.BALANCE,
                        w -> {
                            w.disk = remembers ? new MemoryDisk() : null;
                            more.accept(w);
                        });
        assertEquals(List.of(), o.breaches(), "seed " + seed);
        return o;
    }

    /** The configuration's list has nobody who is still there; what was kept has. */
    @Test
    void withDiscoveryDownAStartServesFromWhatWasKept() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Consumer<VirtualWorld> stale =
                    w ->
                            w.known =
                                    "{\"id\":\"gone\",\"addr\":\"127.0.2.99:8080\","
                                        + "\"zone\":\"z0\",\"kind\":\"k\",\"cell\":0,\"state\":\"Ready\","
                                        + "\"weight\":1,\"started_ms\":0}";
            Fault[] faults = {
                fault(Fault.Kind.DIE, 1_000, 500, 1, 1),
                fault(Fault.Kind.DISCOVERY_DOWN, 3_900, 5_000, 0, 1),
                fault(Fault.Kind.KILL, 4_000, 300, 0, 1)
            };
            assertEquals(
                    0, between(play(seed, false, stale, faults), "client got 200", 4_400, 8_800));
            long served = between(play(seed, true, stale, faults), "client got 200", 4_400, 8_800);
            assertTrue(served > 50, "served from the list that was kept: " + served);
        }
    }

    /**
     * Everybody has been replaced at the old addresses: nothing of the old ones counts for the new.
     */
    @Test
    void everyServerOfTheListIsGoneAndOthersAreAtTheirAddresses() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            VirtualWorld.Outcome o =
                    play(
                            seed,
                            true,
                            w -> {},
                            fault(Fault.Kind.DISCOVERY_DOWN, 3_500, 3_000, 0, 1),
                            fault(Fault.Kind.REPLACE, 4_000, 200, 0, 1),
                            fault(Fault.Kind.REPLACE, 4_000, 200, 1, 1),
                            fault(Fault.Kind.KILL, 4_000, 400, 0, 1));
            assertTrue(
                    between(o, "u0' got", 6_500, 10_000) > 0, "the new ones are used once listed");
        }
    }

    /** It drained before the crash, and nobody says so again: what was kept does. */
    @Test
    void whoDrainedBeforeTheCrashGetsNothingAfterIt() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Fault[] faults = {
                fault(Fault.Kind.DRAIN, 2_000, 3_000, 0, 1),
                fault(Fault.Kind.DISCOVERY_DOWN, 4_900, 4_000, 0, 1),
                fault(Fault.Kind.KILL, 5_000, 200, 0, 1)
            };
            assertTrue(between(play(seed, false, w -> {}, faults), "u0 got", 5_300, 8_800) > 0);
            assertEquals(0, between(play(seed, true, w -> {}, faults), "u0 got", 5_300, 8_800));
        }
    }

    @Test
    void discoveryComesBackWithAnOlderListAndThenTheRightOne() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            play(
                    seed,
                    true,
                    w -> {},
                    fault(Fault.Kind.DISCOVERY_DOWN, 3_000, 2_500, 0, 1),
                    fault(Fault.Kind.KILL, 3_100, 300, 0, 1),
                    fault(Fault.Kind.DISCOVERY_OLD, 5_600, 0, 0, 1),
                    fault(Fault.Kind.DIE, 4_000, 3_000, 1, 1),
                    fault(Fault.Kind.DISCOVERY_OLD, 5_900, 0, 0, 1));
        }
    }

    /**
     * The clock is set back between saving and starting, or the disk is full, or what is there is
     * noise.
     */
    @Test
    void aWrongClockOrAFullDiskOrNoiseKeepsNobodyFromStarting() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            play(
                    seed,
                    true,
                    w -> {},
                    fault(Fault.Kind.CLOCK_STEP, 1_500, 0, 0, 1),
                    fault(Fault.Kind.KILL, 3_000, 300, 0, 1));
            play(
                    seed,
                    true,
                    w -> {},
                    fault(Fault.Kind.DISK_FULL, 500, 5_000, 0, 1),
                    fault(Fault.Kind.KILL, 3_000, 300, 0, 1));
            VirtualWorld.Outcome o =
                    play(
                            seed,
                            true,
                            w ->
                                    w.timeline.in(
                                            2_990_000,
                                            () ->
                                                    w.disk.files()
                                                            .replaceAll((name, bytes) -> NOISE)),
                            fault(Fault.Kind.KILL, 3_000, 300, 0, 1));
            assertTrue(between(o, "client got 200", 3_400, 10_000) > 100);
        }
    }

    /**
     * Both write in turn and read each other's: the successor begins with what its predecessor
     * knows.
     */
    @Test
    void aSuccessorBeginsWithWhatItsPredecessorKnows() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            play(
                    seed,
                    true,
                    w -> {},
                    fault(Fault.Kind.DIE, 3_000, 800, 0, 1),
                    fault(Fault.Kind.BURST, 3_500, 4_000, 0, 0.5),
                    fault(Fault.Kind.HAND_OVER, 4_000, 0, 0, 1),
                    fault(Fault.Kind.HAND_OVER, 9_000, 0, 0, 1));
        }
    }
}
