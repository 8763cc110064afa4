package loadbalancer.faults.process.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** Bytes on their way from one connection to the other, in order. Lives on one loop. */
final class Flow {
    /** How often to look whether a direction lets pass again what waits. */
    private static final long LOOK_MS = 5;

    /** With so much on its way the sender is no longer read, as when windows are full. */
    private static final int MOST_BYTES = 256 * 1024;

    private final LinkDirection direction;
    private final Channel from;
    private final Channel to;
    private final Runnable whenDone;
    private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    private int bytes;
    private long lastDue;
    private boolean waits;
    private boolean ended;
    private boolean done;

    /** Bytes, or null for the end of them; {@code due} in nanoseconds of the loop's clock. */
    private record Piece(ByteBuf bytes, long due) {}

    /** {@code whenDone} is run once the end has been passed on. */
    Flow(LinkDirection direction, Channel from, Channel to, Runnable whenDone) {
        this.direction = direction;
        this.from = from;
        this.to = to;
        this.whenDone = whenDone;
    }

    /** Takes over the bytes. */
    void add(ByteBuf more) {
        bytes += more.readableBytes();
        enqueue(more);
        from.config().setAutoRead(bytes < MOST_BYTES);
    }

    /** The sender will send no more. */
    void end() {
        if (!ended) {
            ended = true;
            enqueue(null);
        }
    }

    private void enqueue(ByteBuf more) {
        // In order: nothing overtakes what was sent before it.
        lastDue = Math.max(lastDue, now() + TimeUnit.MILLISECONDS.toNanos(direction.piece()));
        pieces.add(new Piece(more, lastDue));
        pump();
    }

    private long now() {
        return to.eventLoop().ticker().nanoTime();
    }

    private void pump() {
        if (waits || !to.isActive()) {
            return;
        }
        while (!pieces.isEmpty()
                && pieces.peek().due() <= now()
                && !direction.conditions().held()) {
            Piece piece = pieces.poll();
            if (piece.bytes() == null) {
                // Only behind the last write: what is not written then never is.
                to.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> finish());
            } else {
                int length = piece.bytes().readableBytes();
                to.write(piece.bytes())
                        .addListener(
                                f -> {
                                    bytes -= length;
                                    from.config().setAutoRead(bytes < MOST_BYTES);
                                });
            }
        }
        to.flush();
        if (!pieces.isEmpty()) {
            waits = true;
            long wait = pieces.peek().due() - now();
            to.eventLoop()
                    .schedule(
                            () -> {
                                waits = false;
                                pump();
                            },
                            Math.max(wait, TimeUnit.MILLISECONDS.toNanos(LOOK_MS)),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void finish() {
        if (to.isActive()) {
            ((DuplexChannel) to).shutdownOutput();
        }
        done = true;
        whenDone.run();
    }

    /** Whether the end was passed on. */
    boolean done() {
        return done;
    }

    /** What is left goes nowhere. */
    void drop() {
        ended = true;
        pieces.forEach(p -> (p.bytes() == null ? Unpooled.EMPTY_BUFFER : p.bytes()).release());
        pieces.clear();
    }
}
