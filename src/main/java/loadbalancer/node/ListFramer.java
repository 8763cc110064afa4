package loadbalancer.node;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits the response body of a call to discovery into endpoint lists. Each is one JSON object, on
 * one line or indented over more; empty lines between them are heartbeats. A truncated line does
 * not swallow the list that follows it. On the loop.
 */
final class ListFramer implements ByteProcessor {
    /** Receives what the body consists of, in order. */
    interface Output {
        /** An empty line, outside of a list or cutting one off: nothing has changed. */
        void empty();

        /** A whole JSON object, not parsed yet. */
        void object(byte[] json);

        /** Something that is no JSON object and is left out, with the reason. */
        void broken(String reason);
    }

    /** Lists of tens of thousands of endpoints are shorter. */
    private static final int MAX_LIST_BYTES = 4 << 20;

    /** Key that every list has. */
    private static final byte[] LIST_KEY = "\"servers\"".getBytes(StandardCharsets.US_ASCII);

    /** Open braces and quotes since the byte where an object began. */
    private static final class Nesting {
        private final int start;
        private int depth;
        private boolean isQuoted;
        private boolean isEscaped;

        Nesting(int start) {
            this.start = start;
        }

        /** Whether the object ends with this byte. */
        boolean endsWith(byte next) {
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

    private final Output output;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private Nesting object;

    /**
     * Inside of an incomplete object: a brace at the start of a line, which may begin the next
     * list.
     */
    private Nesting nestedAtLineStart;

    private boolean lineHasBytes;
    private boolean lineHasText;
    private boolean isSkippingLine;

    ListFramer(Output output) {
        this.output = output;
    }

    /** Adds the next part of the body, wherever it was split; the caller releases it. */
    void add(ByteBuf part) {
        part.forEachByte(this);
    }

    /** Ends the body. */
    void end() {
        if (object != null) {
            drop("it ends in the middle of a list");
        }
    }

    @Override
    public boolean process(byte nextByte) {
        if (nextByte == '\n') {
            endOfLine();
        } else if (!isSkippingLine) {
            inLine(nextByte);
        }
        return true;
    }

    private void endOfLine() {
        boolean isEmpty = !lineHasText && !isSkippingLine;
        if (object != null && object.isQuoted) {
            drop("a line ends in the middle of a word");
        } else if (object != null && isEmpty) {
            drop("an empty line comes in the middle of a list");
        } else if (object != null) {
            bytes.write('\n');
        }
        isSkippingLine = false;
        lineHasBytes = false;
        lineHasText = false;
        if (isEmpty) {
            output.empty();
        }
    }

    private void inLine(byte nextByte) {
        boolean isFirst = !lineHasBytes;
        lineHasBytes = true;
        if (nextByte != ' ' && nextByte != '\t' && nextByte != '\r') {
            lineHasText = true;
            if (object == null && nextByte != '{') {
                skip("a line does not begin as a list");
                return;
            }
            if (object == null) {
                object = new Nesting(0);
            } else if (isFirst && nextByte == '{' && nestedAtLineStart == null) {
                nestedAtLineStart = new Nesting(bytes.size());
            }
        }
        if (object != null) {
            inObject(nextByte);
        }
    }

    private void inObject(byte nextByte) {
        bytes.write(nextByte);
        if (bytes.size() > MAX_LIST_BYTES) {
            skip("a list is longer than " + MAX_LIST_BYTES + " bytes");
        } else if (object.endsWith(nextByte)) {
            emit(0);
        } else if (nestedAtLineStart != null && nestedAtLineStart.endsWith(nextByte)) {
            int start = nestedAtLineStart.start;
            nestedAtLineStart = null;
            if (containsListKey(bytes.toByteArray(), start)) {
                output.broken("a list begins in the middle of another");
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
        output.object(start == 0 ? all : Arrays.copyOfRange(all, start, all.length));
    }

    /** Discards the incomplete object. */
    private void drop(String reason) {
        reset();
        output.broken(reason);
    }

    /** Discards the incomplete object and the rest of the line. */
    private void skip(String reason) {
        isSkippingLine = true;
        drop(reason);
    }

    private void reset() {
        object = null;
        nestedAtLineStart = null;
        bytes.reset();
    }
}
