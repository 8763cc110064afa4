package loadbalancer.node;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts what a call to discovery says into lists. Each is one JSON object, on one line or indented
 * over more; between them come empty lines. A line that was torn off does not swallow the list that
 * follows it.
 */
final class ListFramer implements ByteProcessor {
    /** What comes out. */
    interface Output {
        /** An empty line: nothing has changed. */
        void empty();

        /** A whole JSON object, not read yet. */
        void object(byte[] json);

        /** Something that is no JSON object, and why; it is left out. */
        void broken(String why);
    }

    /** Lists of tens of thousands of upstreams are shorter. */
    private static final int MOST_BYTES = 4 << 20;

    private static final byte[] MARK = "\"servers\"".getBytes(StandardCharsets.US_ASCII);

    /** Braces and quotes from where an object began. */
    private static final class Nesting {
        private final int from;
        private int depth;
        private boolean quoted;
        private boolean escaped;

        Nesting(int from) {
            this.from = from;
        }

        /** Whether the object ends with this byte. */
        boolean endsWith(byte b) {
            if (quoted) {
                quoted = escaped || b != '"';
                escaped = !escaped && b == '\\';
            } else if (b == '"') {
                quoted = true;
            } else if (b == '{' || b == '[') {
                depth++;
            } else if (b == '}' || b == ']') {
                depth--;
            }
            return depth <= 0;
        }
    }

    private final Output out;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private Nesting object;

    /**
     * Inside of an object that is not whole: what begins at the start of a line and may be the next
     * list.
     */
    private Nesting next;

    private boolean lineHasBytes;
    private boolean lineHasText;
    private boolean skipping;

    ListFramer(Output out) {
        this.out = out;
    }

    /** Takes the next bytes, wherever they were cut. */
    void add(ByteBuf more) {
        more.forEachByte(this);
    }

    /** There is no more to come. */
    void end() {
        if (object != null) {
            drop("it ends in the middle of a list");
        }
    }

    @Override
    public boolean process(byte b) {
        if (b == '\n') {
            endOfLine();
        } else if (!skipping) {
            inLine(b);
        }
        return true;
    }

    private void endOfLine() {
        boolean empty = !lineHasText && !skipping;
        if (object != null && object.quoted) {
            drop("a line ends in the middle of a word");
        } else if (object != null && empty) {
            drop("an empty line comes in the middle of a list");
        } else if (object != null) {
            bytes.write('\n');
        }
        skipping = false;
        lineHasBytes = false;
        lineHasText = false;
        if (empty) {
            out.empty();
        }
    }

    private void inLine(byte b) {
        boolean first = !lineHasBytes;
        lineHasBytes = true;
        if (b != ' ' && b != '\t' && b != '\r') {
            lineHasText = true;
            if (object == null && b != '{') {
                skip("a line does not begin as a list");
                return;
            }
            if (object == null) {
                object = new Nesting(0);
            } else if (first && b == '{' && next == null) {
                next = new Nesting(bytes.size());
            }
        }
        if (object != null) {
            inObject(b);
        }
    }

    private void inObject(byte b) {
        bytes.write(b);
        if (bytes.size() > MOST_BYTES) {
            skip("a list is longer than " + MOST_BYTES + " bytes");
        } else if (object.endsWith(b)) {
            emit(0);
        } else if (next != null && next.endsWith(b)) {
            int from = next.from;
            next = null;
            if (holds(bytes.toByteArray(), from)) {
                out.broken("a list begins in the middle of another");
                emit(from);
            }
        }
    }

    private static boolean holds(byte[] all, int from) {
        for (int i = from; i + MARK.length <= all.length; i++) {
            if (Arrays.equals(all, i, i + MARK.length, MARK, 0, MARK.length)) {
                return true;
            }
        }
        return false;
    }

    private void emit(int from) {
        byte[] all = bytes.toByteArray();
        forget();
        out.object(from == 0 ? all : Arrays.copyOfRange(all, from, all.length));
    }

    /** Leaves out what has come of a list. */
    private void drop(String why) {
        forget();
        out.broken(why);
    }

    /** Leaves that out and the rest of the line with it. */
    private void skip(String why) {
        skipping = true;
        drop(why);
    }

    private void forget() {
        object = null;
        next = null;
        bytes.reset();
    }
}
