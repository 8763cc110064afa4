package yewyoke.http1.client;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import yewyoke.exchange.Body;

/** A request with as much of its body as has come. */
final class Incoming {
    final HttpRequest head;
    final Body body;
    /** When its last byte was read, in nanoseconds. */
    long wholeAt;
    private ByteBuf last;

    Incoming(HttpRequest head, Body body) {
        this.head = head;
        this.body = body;
    }

    /** Keeps back the bytes that make it whole, until it is known that its client is still there. */
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
