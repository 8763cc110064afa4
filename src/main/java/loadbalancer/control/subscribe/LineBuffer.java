package loadbalancer.control.subscribe;

import java.util.ArrayDeque;
import java.util.Deque;

/** Lines of a subscription that wait to be parsed, bounded by their bytes. For one thread. */
final class LineBuffer {
    /** Bytes of the longest line that is accepted; parts are far smaller. */
    static final int MAX_LINE_BYTES = 1 << 20;

    /** Bytes of all waiting lines. */
    static final int MAX_BYTES = 2 * MAX_LINE_BYTES;

    /** Bytes of waiting lines from which reading is paused. */
    static final int PAUSE_BYTES = 64 << 10;

    private final Deque<byte[]> lines = new ArrayDeque<>();
    private int bytes;

    void add(byte[] line) throws SubscriptionException {
        if (line.length > MAX_LINE_BYTES) {
            throw new SubscriptionException(
                    "a line of " + line.length + " bytes, more than " + MAX_LINE_BYTES);
        }
        if (bytes + line.length > MAX_BYTES) {
            throw new SubscriptionException(
                    "more than " + MAX_BYTES + " bytes of lines while reading was paused");
        }
        lines.add(line);
        bytes += line.length;
    }

    /** The oldest line, or null if none waits. */
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

    /** Whether reading should be paused. */
    boolean isFull() {
        return bytes >= PAUSE_BYTES;
    }

    void clear() {
        lines.clear();
        bytes = 0;
    }
}
