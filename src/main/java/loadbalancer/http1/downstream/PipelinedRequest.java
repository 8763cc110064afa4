package loadbalancer.http1.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.RequestBody;

/** A request with as much of its body as has come. */
final class PipelinedRequest {
    final HttpRequest head;
    final RequestBody body;

    private long completedAtNanos;
    private ByteBuf last;

    PipelinedRequest(HttpRequest head, RequestBody body) {
        this.head = head;
        this.body = body;
    }

    /**
     * Keeps back the bytes that make it whole, until it is known that its client is still there.
     */
    void keepLast(ByteBuf bytes, long nowNanos) {
        last = bytes.retain();
        completedAtNanos = nowNanos;
    }

    /** The bytes kept back go the way of the others. */
    void end() {
        ByteBuf bytes = last;
        last = null;
        body.add(bytes);
        body.end();
    }

    /** How long it has been complete; 0 while more is to come. */
    long millisSinceCompletion(long nowNanos) {
        return body.isEnded() ? TimeUnit.NANOSECONDS.toMillis(nowNanos - completedAtNanos) : 0;
    }

    /** Nobody wants it any more. */
    void release() {
        if (last != null) {
            last.release();
            last = null;
        }
        body.release();
    }
}
