package loadbalancer.schedule.clock;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the offsets to the peers' clocks. For each peer it selects the sample with the smallest
 * error bound, like the clock filter of NTP (RFC 5905, section 10). The error of an offset is at
 * most half of its round-trip time plus the drift of both clocks since the sample.
 *
 * <p>Not thread-safe. Times are microseconds of the monotonic clock.
 */
final class ClockOffsets {
    /** Number of samples stored per peer, equal to the stages of NTP's clock filter. */
    static final int SAMPLES_PER_PEER = 8;

    /** Maximum number of peers; a median of this many is as good as one of all members. */
    static final int MAX_PEERS = 256;

    /** The error bound of a longer round trip would exceed the largest slewed correction. */
    static final long MAX_ROUND_TRIP_MICROS = 1_000_000;

    /** Relative drift of two poor oscillators of 50 ppm each. */
    private static final long DRIFT_MICROS_PER_SECOND = 100;

    /** Drift alone makes an older sample wrong by up to 60 ms, and its peer may have left. */
    private static final long MAX_AGE_MICROS = 600_000_000;

    /** Limit of ten years, which prevents overflow of sums. */
    private static final long MAX_OFFSET_MICROS = 10L * 365 * 86_400_000_000L;

    private record Sample(long atMicros, long offsetMicros, long roundTripMicros) {
        long errorMicros(long nowMicros) {
            return roundTripMicros / 2
                    + (nowMicros - atMicros) / 1_000_000 * DRIFT_MICROS_PER_SECOND;
        }
    }

    private final Map<String, List<Sample>> samplesByPeer = new LinkedHashMap<>();

    /**
     * Adds a sample, ignoring values out of range. The offset is the peer's clock minus this
     * member's.
     */
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
        samplesByPeer.put(peer, samples); // keeps the peer with the oldest latest sample first
        if (samplesByPeer.size() > MAX_PEERS) {
            samplesByPeer.remove(samplesByPeer.keySet().iterator().next());
        }
    }

    /** Subtracts a forward step of this member's own wall clock from all offsets. */
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

    /** Returns the offset with the smallest error bound for each peer with a recent sample. */
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
