package loadbalancer.http1.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import loadbalancer.proxy.RequestBody;

/** A request with as much of its body as has come. */
final class PipelinedRequest {
    final HttpRequest head;
    final RequestBody body;

    /** When its last byte was read, in nanoseconds. */
    long wholeAt;

    private ByteBuf last;

    PipelinedRequest(HttpRequest head, RequestBody body) {
        this.head = head;
        this.body = body;
    }

    /**
     * Keeps back the bytes that make it whole, until it is known that its client is still there.
     */
    void keepLast(ByteBuf bytes, long now) {
        last = bytes.retain();
        wholeAt = now;
    }

    /** The bytes kept back go the way of the others. */
    void end() {
        ByteBuf bytes = last;
        last = null;
        body.add(bytes);
        body.end();
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
