package loadbalancer.http1.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.RequestBody;

/**
 * A request with as much of its body as has arrived. Whoever takes it off the queue releases it.
 */
final class PipelinedRequest {
    final HttpRequest head;
    final RequestBody body;

    private long completedAtNanos;
    private ByteBuf last;

    PipelinedRequest(HttpRequest head, RequestBody body) {
        this.head = head;
        this.body = body;
    }

    /** Keeps back the bytes that complete it until the client is known to be connected. */
    void keepLast(ByteBuf bytes, long nowNanos) {
        last = bytes.retain();
        completedAtNanos = nowNanos;
    }

    /** Passes on the bytes that were kept back, and completes the body. */
    void end() {
        ByteBuf bytes = last;
        last = null;
        body.add(bytes);
        body.end();
    }

    /** How long it has been complete; 0 while more is to come. */
    long millisSinceCompletion(long nowNanos) {
        return body.isComplete() ? TimeUnit.NANOSECONDS.toMillis(nowNanos - completedAtNanos) : 0;
    }

    /** Drops it. */
    void release() {
        if (last != null) {
            last.release();
            last = null;
        }
        body.release();
    }
}
