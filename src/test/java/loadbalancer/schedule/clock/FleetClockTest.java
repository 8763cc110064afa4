package loadbalancer.schedule.clock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** One time out of clocks that are wrong. */
class FleetClockTest {
    private static final long SECOND = 1_000_000;

    /** When the clocks have asked each other, and small corrections are over. */
    private static final long NOW = 30 * SECOND;

    private static final long UTC = 1_800_000_000L * SECOND;

    private final List<String> lines = new ArrayList<>();

    /**
     * Clocks off by so much; each has asked each of the others a few times, over round trips as
     * they come.
     */
    private List<FleetClock> clocks(long[] off, SplittableRandom random) {
        List<FleetClock> clocks = new ArrayList<>();
        for (int i = 0; i < off.length; i++) {
            FleetClock clock = new FleetClock(off.length, lines::add);
            clock.tick(0, UTC + off[i]);
            for (int asked = 0; asked < 8; asked++) {
                for (int j = 0; j < off.length; j++) {
                    long there =
                            100
                                    + (long)
                                            (random.nextDouble() < 0.3
                                                    ? 100_000 * random.nextDouble()
                                                    : 0);
                    long back = 100 + random.nextLong(400);
                    if (j != i) {
                        clock.timed(
                                asked * SECOND,
                                "m" + j,
                                off[j] - off[i] + (there - back) / 2,
                                there + back);
                    }
                }
            }
            clock.tick(NOW, UTC + NOW + off[i]);
            clocks.add(clock);
        }
        return clocks;
    }

    private static long spread(List<FleetClock> clocks, long now) {
        var all = clocks.stream().mapToLong(c -> c.at(now)).summaryStatistics();
        return all.getMax() - all.getMin();
    }

    @Test
    void aThirdOffByHalfAMinuteMovesNobody() {
        for (long seed = 0; seed < 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            long[] off = new long[4 + random.nextInt(30)];
            boolean oneSide = random.nextBoolean();
            for (int i = 0; i < off.length; i++) {
                off[i] =
                        i < off.length / 3
                                ? (oneSide ? 1 : random.nextInt(2) * 2 - 1)
                                        * random.nextLong(30 * SECOND)
                                : random.nextLong(10_000) - 5_000;
            }
            List<FleetClock> clocks = clocks(off, random);
            assertTrue(spread(clocks, NOW) < 2_000, seed + ": " + spread(clocks, NOW));
            assertEquals(UTC + NOW, clocks.get(0).at(NOW), 6_000, "seed " + seed);
        }
    }

    @Test
    void clocksThatAllDisagreeStillMakeOneTime() {
        SplittableRandom random = new SplittableRandom(1);
        long[] off = random.longs(12, -30 * SECOND, 30 * SECOND).toArray();
        assertTrue(spread(clocks(off, random), NOW) < 2_000);
    }

    @Test
    void oneThatIsOffSaysSoOnceAndUsesTheFleets() {
        List<FleetClock> clocks =
                clocks(new long[] {-20 * SECOND, 0, 0, 0, 0}, new SplittableRandom(1));
        for (long now = NOW; now < 2 * NOW; now += SECOND) {
            clocks.get(0).tick(now, UTC - 20 * SECOND + now);
            assertEquals(UTC + now, clocks.get(0).at(now), 1_000);
        }
        assertEquals(List.of("clock is 20.0 s behind the fleet's, which is used instead"), lines);
    }

    @Test
    void aJumpOfTheWallClockIsToldAndChangesNothing() {
        FleetClock clock = clocks(new long[5], new SplittableRandom(1)).get(0);
        clock.tick(NOW + SECOND, UTC + NOW + 31 * SECOND);
        clock.tick(NOW + 2 * SECOND, UTC + NOW + 32 * SECOND);
        assertEquals(UTC + NOW + 2 * SECOND, clock.at(NOW + 2 * SECOND), 1_000);
        assertTrue(lines.contains("clock jumped by 30.0 s") && lines.size() == 2, lines.toString());
    }

    @Test
    void withTooFewPeersItIsTheOwnClockAndLaterTheLastTimeOfTheFleet() {
        FleetClock clock = new FleetClock(12, lines::add);
        clock.tick(0, UTC);
        clock.timed(0, "m1", 5 * SECOND, 200);
        assertTrue(!clock.settled(FleetClock.GRACE - 1) && clock.settled(FleetClock.GRACE));
        assertEquals(UTC + FleetClock.GRACE, clock.at(FleetClock.GRACE));
        long now = FleetClock.GRACE;
        clock.tick(now, UTC + now);
        for (int i = 1; i < 7; i++) {
            clock.timed(now, "m" + i, 5 * SECOND, 200);
        }
        assertEquals(UTC + 5 * SECOND + now, clock.at(now));
        long later =
                3_000 * SECOND; // all samples are too old by then, and the own clock was put right
        clock.tick(later, UTC + 5 * SECOND + later);
        assertEquals(UTC + 5 * SECOND + later, clock.at(later), SECOND / 100);
    }

    @Test
    void neitherLateSamplesNorAbsurdOnesCount() {
        FleetClock clock = clocks(new long[5], new SplittableRandom(1)).get(0);
        for (int i = 5; i < 50; i++) {
            clock.timed(NOW, "m" + i, 40 * SECOND, 2 * SECOND);
            clock.timed(NOW, "m" + i, 40 * SECOND, -1);
            clock.timed(NOW, "m" + i, Long.MIN_VALUE, 200);
        }
        assertEquals(UTC + NOW, clock.at(NOW), 1_000);
    }

    @Test
    void correctionsRepeatNoTimeAndTheReturnOfAnInstantIsExact() {
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            FleetClock clock = new FleetClock(3, lines::add);
            clock.tick(0, UTC);
            clock.tick(FleetClock.GRACE, UTC + FleetClock.GRACE); // from here on the time is used
            long now = FleetClock.GRACE;
            long scale = new long[] {1_000, 400_000, 20 * SECOND}[random.nextInt(3)];
            long last = clock.at(now);
            for (int i = 0; i < 60; i++) {
                now += random.nextLong(3 * SECOND);
                if (random.nextInt(4) == 0) {
                    for (int m = 0; m < 3; m++) {
                        clock.timed(
                                now,
                                "m" + m,
                                random.nextLong(2 * scale) - scale,
                                random.nextLong(300));
                    }
                }
                clock.tick(now, UTC + now);
                assertTrue(clock.at(now) >= last, "seed " + seed);
                last = clock.at(now);
                long ahead = last + 1 + random.nextLong(5 * SECOND);
                long when = clock.when(ahead);
                assertTrue(clock.at(when) >= ahead && clock.at(when - 1) < ahead, "seed " + seed);
            }
        }
    }
}
