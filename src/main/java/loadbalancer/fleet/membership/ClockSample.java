package loadbalancer.fleet.membership;

/**
 * The offset of another's wall clock from the four times of a ping and its answer (RFC 5905,
 * section 8).
 */
final class ClockSample {
    /** Further apart than that, our own wall clock was set between ping and answer. */
    private static final long STEP = 1_000;

    /** Beyond it, sums of times could overflow; the year 100,000 is far below. */
    private static final long LATEST = 1L << 61;

    private ClockSample() {}

    static void take(
            long sentAt,
            long wallSentAt,
            long heardAt,
            long wallHeardAt,
            Body.Ack ack,
            SwimOutput out) {
        long took = heardAt - sentAt;
        if (Math.abs(wallHeardAt - wallSentAt - took) > STEP
                || !sane(ack.receivedAt())
                || !sane(ack.sentAt())) {
            return;
        }
        long there = ack.sentAt() - ack.receivedAt();
        if (there < 0 || there > took) {
            return;
        }
        long offset = (ack.receivedAt() - wallSentAt + (ack.sentAt() - wallHeardAt)) / 2;
        out.timed(ack.about(), offset, took - there);
    }

    private static boolean sane(long time) {
        return time >= 0 && time <= LATEST;
    }
}
