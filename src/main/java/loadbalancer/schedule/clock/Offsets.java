package loadbalancer.schedule.clock;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What is known of the peers' clocks: of each the sample that can be least wrong, after the clock
 * filter of NTP (RFC 5905, section 10). An offset is wrong by at most half of its round trip, and
 * by what the two clocks drifted apart since.
 */
final class Offsets {
    /** Samples kept of a peer, as many as NTP's filter has stages. */
    static final int STAGES = 8;

    /** Peers kept: a median over so many is as good as one over all. */
    static final int MOST_PEERS = 256;

    /**
     * A longer round trip leaves the offset unsure by half a second, more than a clock is slewed
     * by.
     */
    static final long MOST_ROUND_TRIP = 1_000_000;

    /** Microseconds of drift each second: two poor crystals of 50 ppm. */
    private static final long DRIFT = 100;

    /** An older sample may be wrong by 60 ms from drift alone; and its peer may be gone. */
    private static final long MOST_AGE = 600_000_000;

    /** No clock is so far off that it is worth to be counted: ten years. It keeps sums in range. */
    private static final long MOST_OFFSET = 10L * 365 * 86_400_000_000L;

    private record Sample(long at, long offset, long roundTrip) {
        long error(long now) {
            return roundTrip / 2 + (now - at) / 1_000_000 * DRIFT;
        }
    }

    private final Map<String, List<Sample>> byPeer = new LinkedHashMap<>();

    /** {@code offset}: the peer's clock less ours. Samples that can't be are passed over. */
    void add(long now, String peer, long offset, long roundTrip) {
        if (roundTrip < 0
                || roundTrip > MOST_ROUND_TRIP
                || Math.abs(offset) > MOST_OFFSET
                || offset == Long.MIN_VALUE) {
            return;
        }
        List<Sample> samples = byPeer.remove(peer);
        samples = samples == null ? new ArrayList<>(STAGES) : samples;
        if (samples.size() == STAGES) {
            samples.remove(0);
        }
        samples.add(new Sample(now, offset, roundTrip));
        byPeer.put(peer, samples); // last in order: the one not heard for longest goes first
        if (byPeer.size() > MOST_PEERS) {
            byPeer.remove(byPeer.keySet().iterator().next());
        }
    }

    /** Our own clock was put forward by that: all offsets to it are less by as much. */
    void ownClockMoved(long by) {
        byPeer.values()
                .forEach(
                        samples ->
                                samples.replaceAll(
                                        s -> new Sample(s.at, s.offset - by, s.roundTrip)));
    }

    /** The best offset to each peer that was heard lately. */
    List<Long> best(long now) {
        List<Long> all = new ArrayList<>();
        for (List<Sample> samples : byPeer.values()) {
            Sample best = null;
            for (Sample s : samples) {
                if (now - s.at <= MOST_AGE && (best == null || s.error(now) < best.error(now))) {
                    best = s;
                }
            }
            if (best != null) {
                all.add(best.offset);
            }
        }
        return all;
    }
}
