package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import loadbalancer.transport.MemoryQuota;
import org.junit.jupiter.api.Test;

/** Buffering and streaming of request bodies, and when a client has to wait. */
class RequestBodyTest {
    private static final int CHUNK_BYTES = 16 * 1024;

    /** Counts the bytes that it receives. */
    private static final class Attempt implements RequestBody.Sink {
        long bytes;
        boolean ended;
        boolean writable = true;

        @Override
        public void write(ByteBuf chunk) {
            bytes += chunk.readableBytes();
            chunk.release();
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
    private final RequestBody body =
            new RequestBody(-1, () -> now, MemoryQuota.unlimited(), () -> {});

    private void add(int bytes) {
        body.add(Unpooled.wrappedBuffer(new byte[bytes]));
    }

    @Test
    void sendsSmallBodyToEachAttempt() {
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
    void hasNoRoomWhileBufferIsFullOrAttemptIsNotWritable() {
        for (int arrived = 0; arrived <= RequestBody.MAX_BUFFERED_BYTES; arrived += CHUNK_BYTES) {
            assertTrue(body.hasRoom());
            add(CHUNK_BYTES);
        }
        assertFalse(body.hasRoom());
        Attempt attempt = new Attempt();
        body.attach(attempt);
        assertEquals(RequestBody.MAX_BUFFERED_BYTES + CHUNK_BYTES, attempt.bytes);
        assertTrue(body.hasRoom());
        attempt.writable = false;
        assertFalse(body.hasRoom());
    }

    @Test
    void isNotReplayableAfterStreamingBeyondTheBuffer() {
        Attempt attempt = new Attempt();
        body.attach(attempt);
        add(RequestBody.MAX_BUFFERED_BYTES);
        assertTrue(body.isReplayable());
        add(1);
        assertFalse(body.isReplayable());
        assertEquals(0, body.content().readableBytes(), "nothing is buffered");
        add(CHUNK_BYTES);
        body.end();
        assertEquals(RequestBody.MAX_BUFFERED_BYTES + 1 + CHUNK_BYTES, attempt.bytes);
        assertTrue(attempt.ended);
    }

    /** Half of the body arrives in 2 s and then blocks; the blocked time does not count. */
    @Test
    void estimatesRemainingTimeFromRateWhileNotBlocked() {
        RequestBody halfBody =
                new RequestBody(
                        2 * (RequestBody.MAX_BUFFERED_BYTES + CHUNK_BYTES),
                        () -> now,
                        MemoryQuota.unlimited(),
                        () -> {});
        halfBody.add(Unpooled.wrappedBuffer(new byte[RequestBody.MAX_BUFFERED_BYTES]));
        now = 2_000_000_000L;
        halfBody.add(Unpooled.wrappedBuffer(new byte[CHUNK_BYTES]));
        assertFalse(halfBody.hasRoom());
        now = 9_000_000_000L;
        assertEquals(2_000_000_000L, halfBody.timing().estimatedNanosToCompletion());
        halfBody.attach(new Attempt());
        now = 10_000_000_000L;
        assertEquals(3_000_000_000L, halfBody.timing().estimatedNanosToCompletion());
        assertEquals(
                0,
                body.timing().estimatedNanosToCompletion(),
                "all of a body of unknown length may have been sent");
    }

    @Test
    void dropsBytesThatArriveAfterRelease() {
        add(RequestBody.MAX_BUFFERED_BYTES + 1);
        body.release();
        ByteBuf late = Unpooled.wrappedBuffer(new byte[9]);
        body.add(late);
        assertEquals(0, late.refCnt());
        assertTrue(body.hasRoom(), "the client can send the rest");
        assertFalse(body.isReplayable());
    }
}
