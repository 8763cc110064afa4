package loadbalancer.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Where a request, an answer, a list or a signal crosses a close, a stop or a hand-over. */
class RareMomentsTest extends Scenarios {
    private static VirtualWorld.Outcome play(long seed, long length, Fault... faults) {
        VirtualWorld.Outcome o =
                Campaign.play(new Plan(seed, 4, 20, length, 0.2, Arrays.asList(faults)));
        assertEquals(List.of(), o.breaches(), "seed " + seed);
        return o;
    }

    private static long count(VirtualWorld.Outcome o, String text) {
        return o.trace().lines().filter(l -> l.contains(text)).count();
    }

    @ParameterizedTest
    @EnumSource(names = {"UNFRAMED", "UNFRAMED_RESET"})
    void anAnswerWithNoLengthEndsWithItsConnection(Fault.Kind kind) {
        for (long seed = 1; seed <= 15; seed++) {
            VirtualWorld.Outcome o =
                    play(seed, 5_000, fault(kind, 600, 4_000, 0, 1), fault(kind, 600, 4_000, 1, 1));
            assertTrue(count(o, "client got 200") > 0.4 * o.requests());
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"NOISE", "IDLE_CLOSE"})
    void aConnectionThatRestsBringsNoiseOrIsClosedAsARequestGoesOut(Fault.Kind kind) {
        for (long seed = 1; seed <= 15; seed++) {
            VirtualWorld.Outcome o =
                    play(seed, 5_000, fault(kind, 600, 4_000, 0, 1), fault(kind, 600, 4_000, 1, 1));
            assertTrue(count(o, "client got 200") > 0.6 * o.requests());
        }
    }

    /**
     * The connection comes up when its upstream drains, its client has left, or the window is over.
     */
    @Test
    void aConnectionComesUpWhenTheRequestMayNoLongerBeSent() {
        for (long seed = 1; seed <= 15; seed++) {
            play(
                    seed,
                    6_000,
                    fault(Fault.Kind.LATE_DIAL, 300, 5_000, 0, 0.9),
                    fault(Fault.Kind.LATE_DIAL, 300, 5_000, 1, 0.5),
                    fault(Fault.Kind.LATE_DIAL, 300, 5_000, 2, 1),
                    fault(Fault.Kind.ERRORS, 400, 4_000, 3, 0.8),
                    fault(Fault.Kind.LEAVERS, 500, 4_000, 0, 0.5),
                    fault(Fault.Kind.DRAIN, 1_500, 3_000, 2, 1));
        }
    }

    @Test
    void clientsSendAndGoAtOnce() {
        for (long seed = 1; seed <= 15; seed++) {
            VirtualWorld.Outcome o =
                    play(
                            seed,
                            5_000,
                            fault(Fault.Kind.HASTY, 500, 4_000, 0, 0.6),
                            fault(Fault.Kind.PIPELINERS, 500, 4_000, 0, 0.5),
                            fault(Fault.Kind.HANG, 700, 2_000, 0, 0.5),
                            fault(Fault.Kind.QUEUE_FULL, 1_500, 600, 0, 1));
            assertTrue(count(o, "client leaves") > 10);
        }
    }

    /** Of a loop that is behind no more than 0.1 s is allowed, from the close on. */
    @Test
    void clientsGoWhileTheLoopIsBehind() {
        for (long seed = 1; seed <= 15; seed++) {
            play(
                    seed,
                    5_000,
                    fault(Fault.Kind.STARVED, 800, 3_500, 0, 1),
                    fault(Fault.Kind.LEAVERS, 500, 4_000, 0, 0.7),
                    fault(Fault.Kind.HASTY, 1_500, 1_000, 0, 0.4));
        }
    }

    @Test
    void restersSendInTheMomentInWhichTheyAreClosed() {
        for (long seed = 1; seed <= 15; seed++) {
            VirtualWorld.Outcome o =
                    play(
                            seed,
                            6_000,
                            fault(Fault.Kind.RESTERS, 500, 1_500, 0, 1),
                            fault(Fault.Kind.HAND_OVER, 2_500, 0, 0, 1),
                            fault(Fault.Kind.RESTERS, 3_500, 800, 0, 1),
                            fault(Fault.Kind.TERM, 4_400, 1_500, 0, 1));
            assertTrue(count(o, "in the moment of the close") > 5);
        }
    }

    /** While it starts, while it listens, with requests open, in a reload, and in a hand-over. */
    @Test
    void sigtermComesAtAnyPoint() {
        List<Long> points = new ArrayList<>();
        for (long at = 0; at <= 60; at += 5) {
            points.add(at);
        }
        for (long at = 300; at < 500; at += 21) {
            points.add(at);
        }
        for (long at : points) {
            VirtualWorld.Outcome o =
                    play(
                            at + 1,
                            4_000,
                            fault(Fault.Kind.RELOAD, 400, 0, 0, 0.5),
                            fault(Fault.Kind.TERM, at, 1_000, 0, 1),
                            fault(Fault.Kind.HAND_OVER, 2_500, 0, 0, 1),
                            fault(Fault.Kind.TERM, 2_500 + at, 900, 0, 1));
            assertTrue(count(o, "has stopped") >= 3, "told at " + at);
        }
    }

    @Test
    void idleClientsFillTheDescriptorsWhileDiscoveryIsDown() {
        for (long seed = 1; seed <= 6; seed++) {
            play(
                    seed,
                    14_000,
                    fault(Fault.Kind.IDLERS, 1_000, 3_000, 0, 1),
                    fault(Fault.Kind.DRAIN, 2_000, 3_000, 1, 1));
        }
    }

    /** The drain lasts beyond the 6 s after which its word counts as told, and the 2 s of grace. */
    @ParameterizedTest
    @EnumSource(
            names = {
                "WATCH_SILENT",
                "WATCH_RESET",
                "DISCOVERY_MUTE",
                "DISCOVERY_FULL",
                "DISCOVERY_BUSY",
                "DISCOVERY_ENDLESS",
                "MOVE"
            })
    void whateverBecomesOfWatchesAndCallsADrainIsHeardOf(Fault.Kind kind) {
        for (int seed = 1; seed <= 12; seed++) {
            play(
                    seed,
                    14_000,
                    fault(kind, 1_000, 200 + 250 * seed, seed, seed % 2 == 0 ? 0.3 : 0.9),
                    fault(Fault.Kind.DRAIN, 900 + 20 * seed, 3_000, 1, 1));
        }
    }

    /** Silence, and another one on the watch that is opened next. */
    @Test
    void theWatchThatIsOpenedAnewFallsSilentToo() {
        for (int seed = 1; seed <= 12; seed++) {
            play(
                    seed,
                    16_000,
                    fault(Fault.Kind.WATCH_SILENT, 1_000, 100, seed, 0.3),
                    fault(Fault.Kind.DRAIN, 1_010, 4_000, 1, 1),
                    fault(Fault.Kind.WATCH_SILENT, 3_500, 1_500 + 100 * seed, seed, 0.9));
        }
    }
}
