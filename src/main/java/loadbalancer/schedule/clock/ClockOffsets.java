package loadbalancer.schedule.clock;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Offsets to the peers' clocks: of each peer the sample with the least possible error, after the
 * clock filter of NTP (RFC 5905, section 10). An offset is wrong by at most half of its round trip,
 * and by the drift of both clocks since.
 *
 * <p>Not thread-safe. Times are microseconds of the monotonic clock.
 */
final class ClockOffsets {
    /** Samples kept of a peer, as many as NTP's filter has stages. */
    static final int SAMPLES_PER_PEER = 8;

    /** Peers at most: a median of so many is as good as one of all. */
    static final int MAX_PEERS = 256;

    /** A longer round trip leaves an offset uncertain by more than a clock is slewed by. */
    static final long MAX_ROUND_TRIP_MICROS = 1_000_000;

    /** Two poor crystals of 50 ppm. */
    private static final long DRIFT_MICROS_PER_SECOND = 100;

    /** An older sample may be wrong by 60 ms from drift alone, and its peer may be gone. */
    private static final long MAX_AGE_MICROS = 600_000_000;

    /** Ten years: keeps sums in range. */
    private static final long MAX_OFFSET_MICROS = 10L * 365 * 86_400_000_000L;

    private record Sample(long atMicros, long offsetMicros, long roundTripMicros) {
        long errorMicros(long nowMicros) {
            return roundTripMicros / 2
                    + (nowMicros - atMicros) / 1_000_000 * DRIFT_MICROS_PER_SECOND;
        }
    }

    private final Map<String, List<Sample>> samplesByPeer = new LinkedHashMap<>();

    /** Adds a sample; impossible ones are ignored. The offset is the peer's clock less ours. */
    void add(long nowMicros, String peer, long offsetMicros, long roundTripMicros) {
        if (roundTripMicros < 0
                || roundTripMicros > MAX_ROUND_TRIP_MICROS
                || Math.abs(offsetMicros) > MAX_OFFSET_MICROS
                || offsetMicros == Long.MIN_VALUE) {
            return;
        }
        List<Sample> samples = samplesByPeer.remove(peer);
        samples = samples == null ? new ArrayList<>(SAMPLES_PER_PEER) : samples;
        if (samples.size() == SAMPLES_PER_PEER) {
            samples.remove(0);
        }
        samples.add(new Sample(nowMicros, offsetMicros, roundTripMicros));
        samplesByPeer.put(peer, samples); // last in order: the peer not heard for longest is first
        if (samplesByPeer.size() > MAX_PEERS) {
            samplesByPeer.remove(samplesByPeer.keySet().iterator().next());
        }
    }

    /** Our own wall clock was stepped forward by so much: all offsets shrink by it. */
    void onOwnClockStepped(long stepMicros) {
        for (List<Sample> samples : samplesByPeer.values()) {
            samples.replaceAll(
                    sample ->
                            new Sample(
                                    sample.atMicros,
                                    sample.offsetMicros - stepMicros,
                                    sample.roundTripMicros));
        }
    }

    /** The best offset to each peer with a recent sample. */
    List<Long> bestOffsets(long nowMicros) {
        List<Long> offsets = new ArrayList<>();
        for (List<Sample> samples : samplesByPeer.values()) {
            Sample best = null;
            for (Sample sample : samples) {
                boolean isRecent = nowMicros - sample.atMicros <= MAX_AGE_MICROS;
                if (isRecent
                        && (best == null
                                || sample.errorMicros(nowMicros) < best.errorMicros(nowMicros))) {
                    best = sample;
                }
            }
            if (best != null) {
                offsets.add(best.offsetMicros);
            }
        }
        return offsets;
    }
}
