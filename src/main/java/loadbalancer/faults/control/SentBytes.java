package loadbalancer.faults.control;

import java.util.ArrayDeque;
import java.util.Deque;

/** Bytes sent in any one second. */
final class SentBytes {
    private static final long SECOND = 1_000_000_000;

    private final Deque<Piece> pieces = new ArrayDeque<>();
    private long inLastSecond;
    private long most;
    private long total;

    /** Bytes sent at a time. */
    private record Piece(long time, int bytes) {}

    void add(long now, int bytes) {
        while (!pieces.isEmpty() && pieces.peek().time() <= now - SECOND) {
            inLastSecond -= pieces.poll().bytes();
        }
        pieces.add(new Piece(now, bytes));
        inLastSecond += bytes;
        total += bytes;
        most = Math.max(most, inLastSecond);
    }

    /** The most bytes that were sent in one second. */
    long mostInOneSecond() {
        return most;
    }

    /** All bytes. */
    long total() {
        return total;
    }
}
