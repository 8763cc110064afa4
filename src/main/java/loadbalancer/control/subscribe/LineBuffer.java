package loadbalancer.control.subscribe;

import java.util.ArrayDeque;
import java.util.Deque;

/** Buffers the lines of a subscription until they are parsed, up to a size. Not thread-safe. */
final class LineBuffer {
    /** The maximum length of a line; the parts that a publisher sends are far smaller. */
    static final int MAX_LINE_BYTES = 1 << 20;

    /** The maximum total length of the buffered lines. */
    static final int MAX_BYTES = 2 * MAX_LINE_BYTES;

    /** The total length of buffered lines from which reading is paused. */
    static final int PAUSE_BYTES = 64 << 10;

    private final Deque<byte[]> lines = new ArrayDeque<>();
    private int bytes;

    void add(byte[] line) throws SubscriptionException {
        if (line.length > MAX_LINE_BYTES) {
            throw new SubscriptionException(
                    "line of " + line.length + " bytes exceeds the limit of " + MAX_LINE_BYTES);
        }
        if (bytes + line.length > MAX_BYTES) {
            throw new SubscriptionException(
                    "more than " + MAX_BYTES + " bytes received while reading was paused");
        }
        lines.add(line);
        bytes += line.length;
    }

    /** Removes and returns the oldest line; null if the buffer is empty. */
    byte[] poll() {
        byte[] line = lines.poll();
        if (line != null) {
            bytes -= line.length;
        }
        return line;
    }

    boolean isEmpty() {
        return lines.isEmpty();
    }

    /** Returns whether reading should be paused. */
    boolean isFull() {
        return bytes >= PAUSE_BYTES;
    }

    void clear() {
        lines.clear();
        bytes = 0;
    }
}
