package loadbalancer.schedule.clock;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.LongStream;

/**
 * Computes the fleet's time as the median of all members' clocks, including this member's. As long
 * as fewer than half of the clocks are wrong, the median lies between two correct clocks (Lamport,
 * Melliar-Smith, "Synchronizing clocks in the presence of faults", 1985; the median is the
 * fault-tolerant midpoint of Welch, Lynch 1988 with the maximum number of clocks discarded).
 * Members that receive samples from the same members compute the same time, however far the clocks
 * differ.
 *
 * <p>{@code nowMicros} is the time of the monotonic clock, {@code wallMicros} that of the wall
 * clock (UTC), both in microseconds. Between samples the fleet's time follows the monotonic clock,
 * so a step of the wall clock does not change it. Not thread-safe.
 */
public final class FleetClock {
    /** Corrections up to this are slewed. Larger ones stem from a wrong clock and are stepped. */
    static final long MAX_SLEW_MICROS = 500_000;

    /** Maximum time for which a clock that is ahead is stopped; a larger lead is stepped back. */
    static final long MAX_HOLD_MICROS = 60_000_000;

    /** How long after the start the clock waits for enough peers. */
    static final long GRACE_MICROS = 15_000_000;

    /** With fewer clocks it is impossible to tell which of two is wrong. */
    private static final int MIN_CLOCKS = 3;

    /** Sufficient number of clocks in a large fleet, even if a third of all clocks is wrong. */
    private static final int ENOUGH_CLOCKS = 9;

    /** Number of clocks that settles the time before the grace period ends, in a large fleet. */
    private static final int SETTLED_CLOCKS = 25;

    /** Offsets and steps of the wall clock larger than this are logged. */
    static final long LOGGED_OFFSET_MICROS = 250_000;

    private static final long STEP_LOG_INTERVAL_MICROS = 60_000_000;

    private final int minClocks;
    private final int settledClocks;
    private final Consumer<String> log;
    private final ClockOffsets offsets = new ClockOffsets();
    private final SlewedClock time = new SlewedClock();
    private boolean isStarted;
    private boolean hasFleetTime;
    private boolean isSettled;
    private boolean isLoggedAsOff;
    private long startedMicros;
    private long wallMinusMonotonicMicros;
    private long stepLoggedMicros = Long.MIN_VALUE / 2;

    /**
     * Creates the clock of a member. The fleet's time needs the clocks of a majority, or {@value
     * #ENOUGH_CLOCKS} in a large fleet.
     *
     * @param members number of members in the fleet
     * @param log receives log lines for operators
     */
    public FleetClock(int members, Consumer<String> log) {
        this.minClocks = Math.max(MIN_CLOCKS, Math.min(ENOUGH_CLOCKS, members / 2 + 1));
        this.settledClocks = Math.max(minClocks, Math.min(SETTLED_CLOCKS, (3 * members + 3) / 4));
        this.log = log;
    }

    /** Reads this member's clocks; to be called first of all methods and about once a second. */
    public void tick(long nowMicros, long wallMicros) {
        if (!isStarted) {
            isStarted = true;
            startedMicros = nowMicros;
            wallMinusMonotonicMicros = wallMicros - nowMicros;
            time.step(nowMicros, wallMicros);
        }
        long stepMicros = wallMicros - nowMicros - wallMinusMonotonicMicros;
        wallMinusMonotonicMicros += stepMicros;
        offsets.onOwnClockStepped(stepMicros);
        if (Math.abs(stepMicros) > LOGGED_OFFSET_MICROS
                && nowMicros - stepLoggedMicros > STEP_LOG_INTERVAL_MICROS) {
            stepLoggedMicros = nowMicros;
            log.accept("wall clock stepped by " + seconds(stepMicros) + " s");
        }
        update(nowMicros);
    }

    /**
     * Adds a sample of a peer's clock.
     *
     * @param offsetMicros the peer's wall clock minus this member's
     * @param roundTripMicros round-trip time of the sample
     */
    public void onSample(long nowMicros, String member, long offsetMicros, long roundTripMicros) {
        if (isStarted) {
            offsets.add(nowMicros, member, offsetMicros, roundTripMicros);
            update(nowMicros);
        }
    }

    /** Returns whether enough clocks are known or the grace period has ended. */
    public boolean isSettled(long nowMicros) {
        return isStarted && (isSettled || nowMicros - startedMicros >= GRACE_MICROS);
    }

    /** Returns the end of the grace period, in microseconds of the monotonic clock. */
    public long settledAtLatestMicros() {
        return startedMicros + GRACE_MICROS;
    }

    /** Returns the fleet's time, in microseconds of UTC. */
    public long timeAt(long nowMicros) {
        return time.timeAt(nowMicros);
    }

    /**
     * Returns the first {@code nowMicros} at which the fleet's time is {@code utcMicros} or later,
     * given the corrections known so far.
     */
    public long monotonicAt(long utcMicros) {
        return time.monotonicAt(utcMicros);
    }

    private void update(long nowMicros) {
        List<Long> peerOffsets = offsets.bestOffsets(nowMicros);
        int clocks = peerOffsets.size() + 1;
        boolean hasEnoughClocks = clocks >= minClocks;
        if (!hasEnoughClocks && hasFleetTime) {
            return; // the fleet's time continues by the monotonic clock
        }
        long offsetMicros = hasEnoughClocks ? median(peerOffsets) : 0;
        boolean maySetFreely = !isSettled(nowMicros);
        hasFleetTime |= hasEnoughClocks;
        isSettled |= clocks >= settledClocks;
        if (hasEnoughClocks) {
            logOffset(offsetMicros);
        }
        correct(nowMicros, nowMicros + wallMinusMonotonicMicros + offsetMicros, maySetFreely);
    }

    /**
     * Logs when this member's wall clock starts and stops differing from the fleet's time. The
     * difference must halve before the clock counts as correct, which prevents repeated lines.
     */
    private void logOffset(long offsetMicros) {
        long distance = Math.abs(offsetMicros);
        boolean changes =
                isLoggedAsOff
                        ? distance < LOGGED_OFFSET_MICROS / 2
                        : distance > LOGGED_OFFSET_MICROS;
        if (!changes) {
            return;
        }
        isLoggedAsOff = !isLoggedAsOff;
        log.accept(
                isLoggedAsOff
                        ? "wall clock is "
                                + seconds(distance)
                                + " s "
                                + (offsetMicros > 0 ? "behind" : "ahead of")
                                + " the fleet's time, which is used instead"
                        : "wall clock agrees with the fleet's time again");
    }

    private void correct(long nowMicros, long targetMicros, boolean maySetFreely) {
        long errorMicros = targetMicros - time.timeAt(nowMicros);
        if (maySetFreely) {
            time.step(nowMicros, targetMicros);
        } else if (errorMicros > MAX_SLEW_MICROS || errorMicros < -MAX_HOLD_MICROS) {
            log.accept("fleet's time stepped by " + seconds(errorMicros) + " s");
            time.step(nowMicros, targetMicros);
        } else {
            time.slew(nowMicros, errorMicros, errorMicros < -MAX_SLEW_MICROS);
        }
    }

    /** Returns the median of the peers' offsets and this member's own offset, which is 0. */
    private static long median(List<Long> peerOffsets) {
        long[] sorted =
                LongStream.concat(LongStream.of(0), peerOffsets.stream().mapToLong(Long::longValue))
                        .sorted()
                        .toArray();
        int half = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
    }

    private static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.1f", micros / 1e6);
    }
}
