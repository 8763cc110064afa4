package loadbalancer.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Splits a stream into lines without copying each into a string. */
final class LineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

    /** The present line lies from {@code lineStart} to {@code lineEnd}, without its line feed. */
    private int lineStart;

    private int lineEnd;
    private int filled;
    private boolean isEndOfInput;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Goes to the next line; false at the end of the input. */
    boolean next() throws IOException {
        lineStart = lineEnd == 0 ? 0 : Math.min(lineEnd + 1, filled);
        int scanned = lineStart;
        while (true) {
            for (; scanned < filled; scanned++) {
                if (buffer[scanned] == '\n') {
                    lineEnd = scanned;
                    return true;
                }
            }
            if (isEndOfInput) {
                lineEnd = filled;
                return filled > lineStart;
            }
            scanned -= moveLineToBufferStart();
            int count = in.read(buffer, filled, buffer.length - filled);
            isEndOfInput = count < 0;
            filled += Math.max(count, 0);
        }
    }

    private int moveLineToBufferStart() {
        int moved = lineStart;
        System.arraycopy(buffer, lineStart, buffer, 0, filled - lineStart);
        filled -= lineStart;
        lineStart = 0;
        lineEnd = 0;
        if (filled == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length);
        }
        return moved;
    }

    /** Returns an array that begins with the present line; valid until the next line. */
    byte[] bytes() {
        return lineStart == 0 ? buffer : Arrays.copyOfRange(buffer, lineStart, lineEnd);
    }

    /** Returns the bytes of the present line. */
    int length() {
        return lineEnd - lineStart;
    }
}
