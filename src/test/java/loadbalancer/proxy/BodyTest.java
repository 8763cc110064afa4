package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

/** A body on its way: what is held of it, and when its client has to wait. */
class BodyTest {
    private static final int PIECE = 16 * 1024;

    /** Takes what it is given as long as it may. */
    private static final class Attempt implements RequestBody.Sink {
        long bytes;
        boolean ended;
        boolean writable = true;

        @Override
        public void write(ByteBuf piece) {
            bytes += piece.readableBytes();
            piece.release();
        }

        @Override
        public void end() {
            ended = true;
        }

        @Override
        public boolean isWritable() {
            return writable;
        }
    }

    private long now;
    private final RequestBody body = new RequestBody(-1, () -> now, () -> {});

    private void add(int bytes) {
        body.add(Unpooled.wrappedBuffer(new byte[bytes]));
    }

    @Test
    void smallBodyGoesToEachAttempt() {
        add(3);
        body.end();
        for (int i = 0; i < 2; i++) {
            Attempt attempt = new Attempt();
            body.attach(attempt);
            assertEquals(3, attempt.bytes);
            assertTrue(attempt.ended);
            body.detach(attempt);
            assertTrue(body.isReplayable());
        }
        assertEquals(3, body.length());
    }

    @Test
    void clientWaitsWhileNobodyTakesMoreThanIsHeld() {
        for (int came = 0; came <= RequestBody.MAX_BUFFERED_BYTES; came += PIECE) {
            assertTrue(body.hasRoom());
            add(PIECE);
        }
        assertFalse(body.hasRoom());
        Attempt attempt = new Attempt();
        body.attach(attempt);
        assertEquals(RequestBody.MAX_BUFFERED_BYTES + PIECE, attempt.bytes);
        assertTrue(body.hasRoom());
        attempt.writable = false;
        assertFalse(body.hasRoom());
    }

    @Test
    void bodyOfWhichAPartIsGoneIsNotWhole() {
        Attempt attempt = new Attempt();
        body.attach(attempt);
        add(RequestBody.MAX_BUFFERED_BYTES);
        assertTrue(body.isReplayable());
        add(1);
        assertFalse(body.isReplayable());
        assertEquals(0, body.content().readableBytes(), "nothing is held any more");
        add(PIECE);
        body.end();
        assertEquals(RequestBody.MAX_BUFFERED_BYTES + 1 + PIECE, attempt.bytes);
        assertTrue(attempt.ended);
    }

    /** Half came in 2 s, and nothing could in between: the other half takes 2 s more. */
    @Test
    void whatIsMissingTakesAsLongAsThePaceSays() {
        RequestBody half =
                new RequestBody(2 * (RequestBody.MAX_BUFFERED_BYTES + PIECE), () -> now, () -> {});
        half.add(Unpooled.wrappedBuffer(new byte[RequestBody.MAX_BUFFERED_BYTES]));
        now = 2_000_000_000L;
        half.add(Unpooled.wrappedBuffer(new byte[PIECE]));
        assertFalse(half.hasRoom());
        now = 9_000_000_000L;
        assertEquals(2_000_000, half.estimatedMicrosToCompletion());
        half.attach(new Attempt());
        now = 10_000_000_000L;
        assertEquals(3_000_000, half.estimatedMicrosToCompletion());
        assertEquals(
                0,
                body.estimatedMicrosToCompletion(),
                "of one with no stated length all may have been sent");
    }

    @Test
    void whatComesOnceNobodyWantsItIsDropped() {
        add(RequestBody.MAX_BUFFERED_BYTES + 1);
        body.release();
        ByteBuf late = Unpooled.wrappedBuffer(new byte[9]);
        body.add(late);
        assertEquals(0, late.refCnt());
        assertTrue(body.hasRoom(), "so that the client gets to its end");
        assertFalse(body.isReplayable());
    }
}
