package loadbalancer.http1.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;
import loadbalancer.http1.codec.LimitedHttpHeaders;
import loadbalancer.proxy.RequestBody;

/**
 * A request with the part of its body that has arrived. The code that takes it off the queue is
 * responsible for its release. A request that is shed keeps its place in the queue, since responses
 * go out in order, but neither its head nor its body.
 */
final class PipelinedRequest {
    final RequestBody body;
    private final boolean keepAlive;

    /** Null once the request was shed or has ended. */
    private HttpRequest head;

    /** The name of the class of a request that was shed; null if it named none. */
    private String shedClassName;

    private boolean shed;
    private long completedAtNanos;
    private ByteBuf heldBack;

    PipelinedRequest(HttpRequest head, RequestBody body) {
        this.head = head;
        this.body = body;
        this.keepAlive = HttpUtil.isKeepAlive(head);
    }

    /** Returns the head; null once the request was shed or has ended. */
    HttpRequest head() {
        return head;
    }

    /** Returns whether the client keeps the connection open after the response. */
    boolean keepsAlive() {
        return keepAlive;
    }

    /** Drops head and body, because there is no memory for them. */
    void shed() {
        shed = true;
        shedClassName = RequestValidator.className(head);
        release();
    }

    boolean isShed() {
        return shed;
    }

    /** Returns the name of the class of a request that was shed; null if it named none. */
    String shedClassName() {
        return shedClassName;
    }

    /** Drops the head, once it is not needed any more. */
    void releaseHead() {
        if (head != null) {
            LimitedHttpHeaders.release(head.headers());
            head = null;
        }
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

    /** Releases the head, the body and the bytes that were held back. */
    void release() {
        releaseHead();
        if (heldBack != null) {
            heldBack.release();
            heldBack = null;
        }
        body.release();
    }
}
