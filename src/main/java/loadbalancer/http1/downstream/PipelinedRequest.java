package loadbalancer.http1.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.RequestBody;

/**
 * A request with the part of its body that has arrived. The code that takes it off the queue is
 * responsible for its release.
 */
final class PipelinedRequest {
    final HttpRequest head;
    final RequestBody body;

    private long completedAtNanos;
    private ByteBuf heldBack;

    PipelinedRequest(HttpRequest head, RequestBody body) {
        this.head = head;
        this.body = body;
    }

    /** Holds back the bytes that complete the body until the client is known to be connected. */
    void holdBackLast(ByteBuf bytes, long nowNanos) {
        heldBack = bytes.retain();
        completedAtNanos = nowNanos;
    }

    /** Adds the bytes that were held back to the body and completes it. */
    void completeBody() {
        ByteBuf bytes = heldBack;
        heldBack = null;
        body.add(bytes);
        body.end();
    }

    /** Returns the time since the request was complete; 0 while it is incomplete. */
    long millisSinceCompletion(long nowNanos) {
        return body.isComplete() ? TimeUnit.NANOSECONDS.toMillis(nowNanos - completedAtNanos) : 0;
    }

    /** Releases the body and the bytes that were held back. */
    void release() {
        if (heldBack != null) {
            heldBack.release();
            heldBack = null;
        }
        body.release();
    }
}
