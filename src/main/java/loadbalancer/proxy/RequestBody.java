package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The body of a request on its way from a client to an upstream. A small one is held whole and can
 * be sent again. Of a larger one only the beginning is held until it is passed on; from then on the
 * bytes that come go through, and there is one attempt that can have them.
 */
public final class RequestBody {
    /** The largest body that is always held whole. */
    public static final int SMALL = 64 * 1024;

    /** The largest body of all. */
    public static final long MOST = 32L << 20;

    /** Where the bytes go: one attempt. */
    public interface Sink {
        /** Takes over the next bytes. */
        void piece(ByteBuf bytes);

        /** That was all. */
        void end();

        /** Whether more can go that way now without piling up. */
        boolean isWritable();
    }

    private final long length;
    private final LongSupplier clock;
    private final Runnable room;

    /** A copy: clients that write byte by byte would have each byte hold on to a whole read. */
    private ByteBuf held = Unpooled.EMPTY_BUFFER;

    private long came;
    private boolean whole = true;
    private boolean ended;
    private boolean released;
    private Sink sink;
    private Consumer<Boolean> flow = blocked -> {};
    private boolean blocked;

    /** Since when more can come, and for how long that was so before; nanoseconds. */
    private long openSince;

    private long openFor;

    /**
     * One that begins to come now. {@code length} is -1 if it is not known yet; {@code room} is
     * told of room for more; {@code clock} gives nanoseconds.
     */
    public RequestBody(long length, LongSupplier clock, Runnable room) {
        this.length = length;
        this.clock = clock;
        this.openSince = clock.getAsLong();
        this.room = room;
    }

    /** One that is there already, and empty. */
    public static RequestBody empty() {
        RequestBody body = new RequestBody(0, () -> 0, () -> {});
        body.ended = true;
        return body;
    }

    /** Tells from now on whether more could come but can't be taken, also how it is at present. */
    void flow(Consumer<Boolean> to) {
        flow = to;
        flow.accept(blocked);
    }

    private void noteFlow() {
        boolean now = !ended && !wantsMore();
        if (now != blocked) {
            blocked = now;
            if (blocked) {
                openFor += clock.getAsLong() - openSince;
            } else {
                openSince = clock.getAsLong();
            }
            flow.accept(now);
        }
    }

    /** Takes over the next bytes. */
    public void add(ByteBuf bytes) {
        came += bytes.readableBytes();
        if (released) {
            bytes.release(); // nobody wants them any more
            return;
        }
        if (whole) {
            held = held == Unpooled.EMPTY_BUFFER ? Unpooled.buffer(bytes.readableBytes()) : held;
            held.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        }
        if (sink != null) {
            sink.piece(bytes);
        } else {
            bytes.release();
        }
        passOn();
        noteFlow();
    }

    /** All of it has come. */
    public void end() {
        ended = true;
        noteFlow();
        if (sink != null) {
            sink.end();
        }
    }

    /** Gives an attempt all that there is, and from now on all that comes. */
    public void to(Sink next) {
        sink = next;
        if (held.isReadable()) {
            next.piece(content());
        }
        passOn();
        if (ended) {
            next.end();
        }
        noteFlow();
        room.run();
    }

    /** The attempt is over. */
    public void leave(Sink old) {
        if (sink == old) {
            sink = null;
            noteFlow();
        }
    }

    /** An attempt can take more. */
    public void drained() {
        noteFlow();
        room.run();
    }

    private void passOn() {
        if (came > SMALL && sink != null) {
            whole = false;
            held = Unpooled.EMPTY_BUFFER;
        }
    }

    /** All bytes that are held. */
    public ByteBuf content() {
        return held.retainedDuplicate();
    }

    /** Whether all that has come is still held: only then may there be a further attempt. */
    public boolean isWhole() {
        return whole && !released;
    }

    public boolean isEnded() {
        return ended;
    }

    /** How many bytes have come. */
    public long came() {
        return came;
    }

    /** How many bytes there will be, -1 if that is not known. */
    public long length() {
        return ended ? came : length;
    }

    /**
     * So many microseconds the client needs for what is missing, at the pace at which the rest came
     * while it could; 0 if nobody knows whether anything is missing.
     */
    long missingFor() {
        long open = openFor + (blocked ? 0 : clock.getAsLong() - openSince);
        return length < 0 || came == 0
                ? 0
                : (long) ((double) (length - came) / came * TimeUnit.NANOSECONDS.toMicros(open));
    }

    /** Whether there is room for more; without, the client has to wait. */
    public boolean wantsMore() {
        return released || (sink == null ? came <= SMALL : sink.isWritable());
    }

    /** Nothing of this is needed any more; what may still come is dropped. */
    public void release() {
        released = true;
        sink = null;
        held = Unpooled.EMPTY_BUFFER;
        noteFlow();
        room.run();
    }
}
