package loadbalancer.fleet.membership;

/**
 * Computes the offset of another member's wall clock from the four timestamps of a ping and its ack
 * (RFC 5905, section 8). Stateless; all times are microseconds.
 */
final class ClockSample {
    /** If the local clocks differ by more, the wall clock was stepped between ping and ack. */
    private static final long MAX_CLOCK_STEP_MICROS = 1_000;

    /** Samples with later timestamps are ignored, since sums of them could overflow. */
    private static final long MAX_WALL_MICROS = 1L << 61;

    /** A reading of this member's two clocks when it sent a ping or received its ack. */
    record Instant(long monotonicMicros, long wallMicros) {}

    private ClockSample() {}

    /** Reports the sample, unless its timestamps are inconsistent. */
    static void report(
            Instant pingSent, Instant ackReceived, SwimMessage.Ack ack, SwimOutput output) {
        long elapsed = ackReceived.monotonicMicros() - pingSent.monotonicMicros();
        long wallElapsed = ackReceived.wallMicros() - pingSent.wallMicros();
        if (Math.abs(wallElapsed - elapsed) > MAX_CLOCK_STEP_MICROS
                || !isPlausible(ack.receivedAtMicros())
                || !isPlausible(ack.sentAtMicros())) {
            return;
        }
        long remoteElapsed = ack.sentAtMicros() - ack.receivedAtMicros();
        if (remoteElapsed < 0 || remoteElapsed > elapsed) {
            return;
        }
        long offset =
                (ack.receivedAtMicros()
                                - pingSent.wallMicros()
                                + (ack.sentAtMicros() - ackReceived.wallMicros()))
                        / 2;
        output.clockSampled(ack.target(), offset, elapsed - remoteElapsed);
    }

    private static boolean isPlausible(long wallMicros) {
        return wallMicros >= 0 && wallMicros <= MAX_WALL_MICROS;
    }
}
