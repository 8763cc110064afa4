package loadbalancer.schedule.clock;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.LongStream;

/**
 * The fleet's time: the median of all members' clocks, this member's among them. As long as fewer
 * than half are wrong it lies between two that are right (Lamport, Melliar-Smith, "Synchronizing
 * clocks in the presence of faults", 1985; Welch, Lynch 1988, whose fault-tolerant midpoint becomes
 * the median where it leaves out most). All members that hear the same members have the same time,
 * however far the clocks differ.
 *
 * <p>{@code nowMicros} is the monotonic clock, {@code wallMicros} the one that shows UTC, both in
 * microseconds. Between samples the time runs by the monotonic clock, so a step of the wall clock
 * does not change it. Not thread-safe.
 */
public final class FleetClock {
    /** A correction up to this is slewed; a longer one comes from a wrong clock, and is stepped. */
    static final long MAX_SLEW_MICROS = 500_000;

    /** When ahead, the time stands still for so long at most; beyond, it is stepped back. */
    static final long MAX_HOLD_MICROS = 60_000_000;

    /** After the start it waits for enough peers for so long. */
    static final long GRACE_MICROS = 15_000_000;

    /** Never fewer clocks than this: with two, nobody can tell which one is wrong. */
    private static final int MIN_CLOCKS = 3;

    /** Clocks that are enough in a large fleet, even with a third of all clocks wrong. */
    private static final int ENOUGH_CLOCKS = 9;

    /** Clocks with which the time is settled before the grace ends, in a large fleet. */
    private static final int SETTLED_CLOCKS = 25;

    /** An offset or step of the wall clock by more than this is logged. */
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
     * Of a fleet of so many members; the time needs the clocks of a majority, or nine.
     *
     * @param log takes lines for operators
     */
    public FleetClock(int members, Consumer<String> log) {
        this.minClocks = Math.max(MIN_CLOCKS, Math.min(ENOUGH_CLOCKS, members / 2 + 1));
        this.settledClocks = Math.max(minClocks, Math.min(SETTLED_CLOCKS, (3 * members + 3) / 4));
        this.log = log;
    }

    /** Reads the own clocks; to be called about once a second, and before anything else. */
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
            log.accept("clock jumped by " + seconds(stepMicros) + " s");
        }
        update(nowMicros);
    }

    /**
     * Adds a sample of a peer's clock.
     *
     * @param offsetMicros the peer's wall clock less ours
     * @param roundTripMicros over which it was taken
     */
    public void onSample(long nowMicros, String member, long offsetMicros, long roundTripMicros) {
        if (isStarted) {
            offsets.add(nowMicros, member, offsetMicros, roundTripMicros);
            update(nowMicros);
        }
    }

    /** Whether the time can be used: enough clocks are known, or the grace is over. */
    public boolean isSettled(long nowMicros) {
        return isStarted && (isSettled || nowMicros - startedMicros >= GRACE_MICROS);
    }

    /** When it is settled at the latest, microseconds of the monotonic clock. */
    public long settledAtLatestMicros() {
        return startedMicros + GRACE_MICROS;
    }

    /** The time, microseconds of UTC. */
    public long timeAt(long nowMicros) {
        return time.timeAt(nowMicros);
    }

    /**
     * The first {@code nowMicros} at which the time is {@code utcMicros} or later, as known now.
     */
    public long monotonicAt(long utcMicros) {
        return time.monotonicAt(utcMicros);
    }

    private void update(long nowMicros) {
        List<Long> peerOffsets = offsets.bestOffsets(nowMicros);
        int clocks = peerOffsets.size() + 1;
        boolean hasEnoughClocks = clocks >= minClocks;
        if (!hasEnoughClocks && hasFleetTime) {
            return; // the last fleet time goes on by the monotonic clock
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

    /** Logs when the own clock becomes wrong and right; half of the threshold is hysteresis. */
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
                        ? "clock is "
                                + seconds(distance)
                                + " s "
                                + (offsetMicros > 0 ? "behind" : "ahead of")
                                + " the fleet's, which is used instead"
                        : "clock is right again");
    }

    private void correct(long nowMicros, long targetMicros, boolean maySetFreely) {
        long errorMicros = targetMicros - time.timeAt(nowMicros);
        if (maySetFreely) {
            time.step(nowMicros, targetMicros);
        } else if (errorMicros > MAX_SLEW_MICROS || errorMicros < -MAX_HOLD_MICROS) {
            log.accept("time of the calendar steps by " + seconds(errorMicros) + " s");
            time.step(nowMicros, targetMicros);
        } else {
            time.slew(nowMicros, errorMicros, errorMicros < -MAX_SLEW_MICROS);
        }
    }

    /** Median of the offsets and of our own, which is 0. */
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
