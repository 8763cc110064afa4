package loadbalancer.node;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits the response body of a call to discovery into endpoint lists. Each list is one JSON
 * object, on one line or indented over several; empty lines between lists are heartbeats. If a list
 * is truncated, the list that follows it is still recognised. Used on the event loop.
 */
final class ListFramer implements ByteProcessor {
    /** Receives the content of the body, in order. */
    interface Listener {
        /** Reports an empty line, which is outside of a list or truncates one. */
        void onHeartbeat();

        /** Delivers a complete JSON object, not parsed yet. */
        void onObject(byte[] json);

        /** Reports input that is not a complete JSON object and is skipped, with the reason. */
        void onInvalid(String reason);
    }

    /** Enough for a list of tens of thousands of endpoints. */
    private static final int MAX_LIST_BYTES = 4 << 20;

    /** A key that every list has. */
    private static final byte[] LIST_KEY = "\"servers\"".getBytes(StandardCharsets.US_ASCII);

    /** Tracks the open braces, brackets and quotes since the byte where an object began. */
    private static final class Nesting {
        private final int start;
        private int depth;
        private boolean isQuoted;
        private boolean isEscaped;

        Nesting(int start) {
            this.start = start;
        }

        /** Adds the next byte, and returns whether the object ends with it. */
        boolean add(byte next) {
            if (isQuoted) {
                isQuoted = isEscaped || next != '"';
                isEscaped = !isEscaped && next == '\\';
            } else if (next == '"') {
                isQuoted = true;
            } else if (next == '{' || next == '[') {
                depth++;
            } else if (next == '}' || next == ']') {
                depth--;
            }
            return depth <= 0;
        }
    }

    private final Listener listener;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private Nesting objectNesting;

    /**
     * Nesting since a brace at the start of a line within an incomplete object: that brace may
     * begin the next list. Null if there is none.
     */
    private Nesting nestedAtLineStart;

    private boolean lineHasBytes;
    private boolean lineHasText;
    private boolean isSkippingLine;

    ListFramer(Listener listener) {
        this.listener = listener;
    }

    /** Adds the next part of the body, which may be split at any byte; the caller releases it. */
    void add(ByteBuf part) {
        part.forEachByte(this);
    }

    /** Ends the body. */
    void end() {
        if (objectNesting != null) {
            discardObject("the response ends within a list");
        }
    }

    @Override
    public boolean process(byte nextByte) {
        if (nextByte == '\n') {
            endLine();
        } else if (!isSkippingLine) {
            addToLine(nextByte);
        }
        return true;
    }

    private void endLine() {
        boolean isEmpty = !lineHasText && !isSkippingLine;
        if (objectNesting != null && objectNesting.isQuoted) {
            discardObject("a line ends within a JSON string");
        } else if (objectNesting != null && isEmpty) {
            discardObject("an empty line follows an incomplete list");
        } else if (objectNesting != null) {
            bytes.write('\n');
        }
        isSkippingLine = false;
        lineHasBytes = false;
        lineHasText = false;
        if (isEmpty) {
            listener.onHeartbeat();
        }
    }

    private void addToLine(byte nextByte) {
        boolean isFirst = !lineHasBytes;
        lineHasBytes = true;
        if (nextByte != ' ' && nextByte != '\t' && nextByte != '\r') {
            lineHasText = true;
            if (objectNesting == null && nextByte != '{') {
                discardLine("a line does not begin with a JSON object");
                return;
            }
            if (objectNesting == null) {
                objectNesting = new Nesting(0);
            } else if (isFirst && nextByte == '{' && nestedAtLineStart == null) {
                nestedAtLineStart = new Nesting(bytes.size());
            }
        }
        if (objectNesting != null) {
            addToObject(nextByte);
        }
    }

    private void addToObject(byte nextByte) {
        bytes.write(nextByte);
        if (bytes.size() > MAX_LIST_BYTES) {
            discardLine("a list exceeds the maximum of " + MAX_LIST_BYTES + " bytes");
        } else if (objectNesting.add(nextByte)) {
            emit(0);
        } else if (nestedAtLineStart != null && nestedAtLineStart.add(nextByte)) {
            int start = nestedAtLineStart.start;
            nestedAtLineStart = null;
            if (containsListKey(bytes.toByteArray(), start)) {
                listener.onInvalid("a list begins within an incomplete one");
                emit(start);
            }
        }
    }

    private static boolean containsListKey(byte[] all, int start) {
        for (int i = start; i + LIST_KEY.length <= all.length; i++) {
            if (Arrays.equals(all, i, i + LIST_KEY.length, LIST_KEY, 0, LIST_KEY.length)) {
                return true;
            }
        }
        return false;
    }

    private void emit(int start) {
        byte[] all = bytes.toByteArray();
        reset();
        listener.onObject(start == 0 ? all : Arrays.copyOfRange(all, start, all.length));
    }

    /** Discards the incomplete object. */
    private void discardObject(String reason) {
        reset();
        listener.onInvalid(reason);
    }

    /** Discards the incomplete object and the rest of the line. */
    private void discardLine(String reason) {
        isSkippingLine = true;
        discardObject(reason);
    }

    private void reset() {
        objectNesting = null;
        nestedAtLineStart = null;
        bytes.reset();
    }
}
