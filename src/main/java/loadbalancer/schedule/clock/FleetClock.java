package loadbalancer.schedule.clock;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * The fleet's time: the median of all members' clocks, this one's among them. As long as fewer than
 * half are wrong it lies between two that are right (Lamport, Melliar-Smith: Synchronizing clocks
 * in the presence of faults, 1985, and Welch, Lynch 1988, of whose midpoint the median is the case
 * that leaves out most); and all members that hear the same members have the same, however far the
 * clocks lie apart.
 *
 * <p>{@code now} is microseconds of the monotonic clock, {@code wall} of the clock that shows UTC.
 * Between samples the time runs by the monotonic clock, so a wall clock that jumps changes nothing.
 */
public final class FleetClock {
    /**
     * A correction up to this is slewed; a longer one comes from a clock that is wrong, and is
     * stepped.
     */
    static final long SLEWED = 500_000;

    /**
     * Slewing changes the speed by a part of this: 50 ms a second, so that half a second takes ten.
     */
    static final long SLEW_PART = 20;

    /**
     * By so much at most the time stands still when it is ahead; beyond, it steps back, and says
     * so.
     */
    static final long LONGEST_HOLD = 60_000_000;

    /** So long after the start it waits for enough peers: each of a few is asked once a second. */
    static final long GRACE = 15_000_000;

    /** Clocks that are enough in a large fleet: with a third wrong, rarely most of so many are. */
    static final int ENOUGH = 9;

    /**
     * With so many the time is settled before that, or with three quarters: then a third wrong is
     * few.
     */
    static final int PLENTY = 25;

    /** A wall clock off or jumping by more than this is told. */
    static final long TOLD = 250_000;

    /** Jumps are told no more often. */
    private static final long TOLD_EACH = 60_000_000;

    private final int least, plenty;
    private final Consumer<String> lines;
    private final Offsets offsets = new Offsets();
    private boolean started, estimated, settled, off;
    private long startedAt, ahead, jumpToldAt = Long.MIN_VALUE / 2;
    // The time at `baseAt`, and what is still to be corrected from then on, by standing still if it
    // holds.
    private long base, baseAt, pending;
    private boolean holds;

    /**
     * Of a fleet of {@code roster} members; it needs a majority's clocks, or nine, to be sure.
     *
     * @param lines gets what operators should read
     */
    public FleetClock(int roster, Consumer<String> lines) {
        this.least = Math.max(3, Math.min(ENOUGH, roster / 2 + 1));
        this.plenty = Math.max(least, Math.min(PLENTY, (3 * roster + 3) / 4));
        this.lines = lines;
    }

    /** To be called now and then, first of all. */
    public void tick(long now, long wall) {
        if (!started) {
            started = true;
            startedAt = now;
            ahead = wall - now;
            base = wall;
            baseAt = now;
        }
        long jump = wall - now - ahead;
        ahead += jump;
        offsets.ownClockMoved(jump);
        if (Math.abs(jump) > TOLD && now - jumpToldAt > TOLD_EACH) {
            jumpToldAt = now;
            lines.accept("clock jumped by " + seconds(jump) + " s");
        }
        correct(now);
    }

    /** A sample: the peer's wall clock less ours, and the round trip that it was taken over. */
    public void timed(long now, String member, long offset, long roundTrip) {
        if (started) {
            offsets.add(now, member, offset, roundTrip);
            correct(now);
        }
    }

    /** Whether the time can be relied on, or there is no use in waiting for that any more. */
    public boolean settled(long now) {
        return started && (settled || now - startedAt >= GRACE);
    }

    /** When it is settled at the latest. */
    public long settledAt() {
        return startedAt + GRACE;
    }

    /** The time, microseconds of UTC. */
    public long at(long now) {
        long elapsed = Math.max(0, now - baseAt);
        long corrected =
                pending >= 0
                        ? Math.min(pending, elapsed / SLEW_PART)
                        : -Math.min(-pending, holds ? elapsed : elapsed / SLEW_PART);
        return base + elapsed + corrected;
    }

    /** The first {@code now} at which the time is {@code instant} or later, as far as is known. */
    public long when(long instant) {
        if (instant <= base) {
            return baseAt;
        }
        if (instant > Long.MAX_VALUE / 4) {
            return Long.MAX_VALUE;
        }
        // The time rises with now and is ahead of or behind it by no more than what is pending.
        long low = baseAt;
        long high = baseAt + (instant - base) + Math.abs(pending) + 1;
        while (low < high) {
            long middle = low + (high - low) / 2;
            if (at(middle) >= instant) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    private void correct(long now) {
        List<Long> peers = offsets.best(now);
        boolean sure = peers.size() + 1 >= least;
        if (!sure && estimated) {
            return; // goes on by the monotonic clock from what the fleet's time was
        }
        long fromOwn = sure ? median(peers) : 0;
        boolean free = !settled(now);
        estimated |= sure;
        settled |= peers.size() + 1 >= plenty;
        if (sure && Math.abs(fromOwn) > TOLD != off && (!off || Math.abs(fromOwn) < TOLD / 2)) {
            off = !off;
            lines.accept(
                    off
                            ? "clock is "
                                    + seconds(Math.abs(fromOwn))
                                    + " s "
                                    + (fromOwn > 0 ? "behind" : "ahead of")
                                    + " the fleet's, which is used instead"
                            : "clock is right again");
        }
        steer(now, now + ahead + fromOwn, free);
    }

    private void steer(long now, long target, boolean free) {
        long time = at(now);
        long wrong = target - time;
        boolean step = free || wrong > SLEWED || wrong < -LONGEST_HOLD;
        if (step && !free) {
            lines.accept("time of the calendar steps by " + seconds(wrong) + " s");
        }
        base = step ? target : time;
        baseAt = now;
        pending = step ? 0 : wrong;
        holds = wrong < -SLEWED;
    }

    /** Of the offsets and our own, which is none; of an even number the mean of the middle two. */
    private static long median(List<Long> peers) {
        long[] sorted =
                Stream.concat(Stream.of(0L), peers.stream())
                        .mapToLong(Long::longValue)
                        .sorted()
                        .toArray();
        int half = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
    }

    private static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.1f", micros / 1e6);
    }
}
