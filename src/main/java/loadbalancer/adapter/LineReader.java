package loadbalancer.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Splits a stream into lines without creating a string for each. */
final class LineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

    /** Offset of the current line in the buffer; the line ends before {@link #lineEnd}. */
    private int lineStart;

    /** Offset of the current line's line feed, or the end of input if the line has none. */
    private int lineEnd;

    /** Number of bytes in the buffer. */
    private int bufferedBytes;

    private boolean isEndOfInput;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Advances to the next line; returns false at the end of the input. */
    boolean next() throws IOException {
        lineStart = lineEnd == 0 ? 0 : Math.min(lineEnd + 1, bufferedBytes);
        int scanned = lineStart;
        while (true) {
            for (; scanned < bufferedBytes; scanned++) {
                if (buffer[scanned] == '\n') {
                    lineEnd = scanned;
                    return true;
                }
            }
            if (isEndOfInput) {
                lineEnd = bufferedBytes;
                return bufferedBytes > lineStart;
            }
            scanned -= moveLineToBufferStart();
            int count = in.read(buffer, bufferedBytes, buffer.length - bufferedBytes);
            isEndOfInput = count < 0;
            bufferedBytes += Math.max(count, 0);
        }
    }

    private int moveLineToBufferStart() {
        int moved = lineStart;
        System.arraycopy(buffer, lineStart, buffer, 0, bufferedBytes - lineStart);
        bufferedBytes -= lineStart;
        lineStart = 0;
        lineEnd = 0;
        if (bufferedBytes == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length);
        }
        return moved;
    }

    /** Returns an array that starts with the current line; valid until the next line is read. */
    byte[] bytes() {
        return lineStart == 0 ? buffer : Arrays.copyOfRange(buffer, lineStart, lineEnd);
    }

    /** Returns the length of the current line in bytes. */
    int length() {
        return lineEnd - lineStart;
    }
}
