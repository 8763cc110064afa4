package loadbalancer.schedule.clock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FleetClockTest {
    private static final long SECOND = 1_000_000;

    /** Time at which the clocks have sampled each other and finished slewing. */
    private static final long NOW = 30 * SECOND;

    private static final long UTC = 1_800_000_000L * SECOND;

    private final List<String> lines = new ArrayList<>();

    /**
     * Creates clocks with the given offsets that have sampled each other over random round trips.
     */
    private List<FleetClock> clocks(long[] offsets, SplittableRandom random) {
        List<FleetClock> clocks = new ArrayList<>();
        for (int i = 0; i < offsets.length; i++) {
            FleetClock clock = new FleetClock(offsets.length, lines::add);
            clock.tick(0, UTC + offsets[i]);
            for (int round = 0; round < 8; round++) {
                for (int j = 0; j < offsets.length; j++) {
                    long outward =
                            100
                                    + (long)
                                            (random.nextDouble() < 0.3
                                                    ? 100_000 * random.nextDouble()
                                                    : 0);
                    long back = 100 + random.nextLong(400);
                    if (j != i) {
                        clock.onSample(
                                round * SECOND,
                                "m" + j,
                                offsets[j] - offsets[i] + (outward - back) / 2,
                                outward + back);
                    }
                }
            }
            clock.tick(NOW, UTC + NOW + offsets[i]);
            clocks.add(clock);
        }
        return clocks;
    }

    private static long spread(List<FleetClock> clocks, long now) {
        var all = clocks.stream().mapToLong(clock -> clock.timeAt(now)).summaryStatistics();
        return all.getMax() - all.getMin();
    }

    @Test
    void timeIsCorrectWithAThirdOfTheClocksWrong() {
        for (long seed = 0; seed < 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            long[] offsets = new long[4 + random.nextInt(30)];
            boolean oneSide = random.nextBoolean();
            for (int i = 0; i < offsets.length; i++) {
                offsets[i] =
                        i < offsets.length / 3
                                ? (oneSide ? 1 : random.nextInt(2) * 2 - 1)
                                        * random.nextLong(30 * SECOND)
                                : random.nextLong(10_000) - 5_000;
            }
            List<FleetClock> clocks = clocks(offsets, random);
            assertTrue(spread(clocks, NOW) < 2_000, seed + ": " + spread(clocks, NOW));
            assertEquals(UTC + NOW, clocks.get(0).timeAt(NOW), 6_000, "seed " + seed);
        }
    }

    @Test
    void membersAgreeOnOneTimeWhenAllClocksDiffer() {
        SplittableRandom random = new SplittableRandom(1);
        long[] offsets = random.longs(12, -30 * SECOND, 30 * SECOND).toArray();
        assertTrue(spread(clocks(offsets, random), NOW) < 2_000);
    }

    @Test
    void memberWithWrongClockLogsOnceAndUsesFleetTime() {
        List<FleetClock> clocks =
                clocks(new long[] {-20 * SECOND, 0, 0, 0, 0}, new SplittableRandom(1));
        for (long now = NOW; now < 2 * NOW; now += SECOND) {
            clocks.get(0).tick(now, UTC - 20 * SECOND + now);
            assertEquals(UTC + now, clocks.get(0).timeAt(now), 1_000);
        }
        assertEquals(
                List.of("wall clock is 20.0 s behind the fleet's time, which is used instead"),
                lines);
    }

    @Test
    void wallClockStepIsLoggedWithoutChangingTheTime() {
        FleetClock clock = clocks(new long[5], new SplittableRandom(1)).get(0);
        clock.tick(NOW + SECOND, UTC + NOW + 31 * SECOND);
        clock.tick(NOW + 2 * SECOND, UTC + NOW + 32 * SECOND);
        assertEquals(UTC + NOW + 2 * SECOND, clock.timeAt(NOW + 2 * SECOND), 1_000);
        assertTrue(
                lines.contains("wall clock stepped by 30.0 s") && lines.size() == 2,
                lines.toString());
    }

    @Test
    void usesOwnClockOrLastFleetTimeWithTooFewPeers() {
        FleetClock clock = new FleetClock(12, lines::add);
        clock.tick(0, UTC);
        clock.onSample(0, "m1", 5 * SECOND, 200);
        assertTrue(
                !clock.isSettled(FleetClock.GRACE_MICROS - 1)
                        && clock.isSettled(FleetClock.GRACE_MICROS));
        assertEquals(UTC + FleetClock.GRACE_MICROS, clock.timeAt(FleetClock.GRACE_MICROS));
        long now = FleetClock.GRACE_MICROS;
        clock.tick(now, UTC + now);
        for (int i = 1; i < 7; i++) {
            clock.onSample(now, "m" + i, 5 * SECOND, 200);
        }
        assertEquals(UTC + 5 * SECOND + now, clock.timeAt(now));
        // All samples have expired, and the member's own clock has been corrected.
        long later = 3_000 * SECOND;
        clock.tick(later, UTC + 5 * SECOND + later);
        assertEquals(UTC + 5 * SECOND + later, clock.timeAt(later), SECOND / 100);
    }

    @Test
    void ignoresSlowAndInvalidSamples() {
        FleetClock clock = clocks(new long[5], new SplittableRandom(1)).get(0);
        for (int i = 5; i < 50; i++) {
            clock.onSample(NOW, "m" + i, 40 * SECOND, 2 * SECOND);
            clock.onSample(NOW, "m" + i, 40 * SECOND, -1);
            clock.onSample(NOW, "m" + i, Long.MIN_VALUE, 200);
        }
        assertEquals(UTC + NOW, clock.timeAt(NOW), 1_000);
    }

    @Test
    void timeNeverDecreasesAndMonotonicAtIsExact() {
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            FleetClock clock = new FleetClock(3, lines::add);
            clock.tick(0, UTC);
            // The grace period ends, so that later corrections are slewed.
            clock.tick(FleetClock.GRACE_MICROS, UTC + FleetClock.GRACE_MICROS);
            long now = FleetClock.GRACE_MICROS;
            long scale = new long[] {1_000, 400_000, 20 * SECOND}[random.nextInt(3)];
            long last = clock.timeAt(now);
            for (int i = 0; i < 60; i++) {
                now += random.nextLong(3 * SECOND);
                if (random.nextInt(4) == 0) {
                    for (int peer = 0; peer < 3; peer++) {
                        clock.onSample(
                                now,
                                "m" + peer,
                                random.nextLong(2 * scale) - scale,
                                random.nextLong(300));
                    }
                }
                clock.tick(now, UTC + now);
                assertTrue(clock.timeAt(now) >= last, "seed " + seed);
                last = clock.timeAt(now);
                long ahead = last + 1 + random.nextLong(5 * SECOND);
                long when = clock.monotonicAt(ahead);
                assertTrue(
                        clock.timeAt(when) >= ahead && clock.timeAt(when - 1) < ahead,
                        "seed " + seed);
            }
        }
    }
}
