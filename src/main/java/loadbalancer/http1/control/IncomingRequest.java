package loadbalancer.http1.control;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Optional;
import loadbalancer.transport.AccumulationBuffer;
import loadbalancer.transport.MemoryQuota;

/**
 * A request that is being received: its head, which identifies the call, and its body up to the
 * limit of that call. Used on the event loop only.
 */
final class IncomingRequest {
    private static final int MAX_QUOTED_PATH_CHARS = 80;

    private final HttpRequest head;
    private final QueryStringDecoder query;
    private final ControlCall call;
    private final AccumulationBuffer body;

    /** Creates a request whose body is reserved from the quota until {@link #release}. */
    IncomingRequest(HttpRequest head, MemoryQuota quota) {
        this.head = head;
        this.body = new AccumulationBuffer(quota, MemoryQuota.Purpose.REQUEST_BODY);
        this.query = new QueryStringDecoder(head.uri());
        this.call = ControlCall.at(pathOf(query));
    }

    private static String pathOf(QueryStringDecoder query) {
        try {
            return query.path();
        } catch (IllegalArgumentException e) {
            return ""; // invalid percent-encoding
        }
    }

    /** Returns the call with the path of this request; null if there is none. */
    ControlCall call() {
        return call;
    }

    QueryStringDecoder query() {
        return query;
    }

    boolean isKeepAlive() {
        return HttpUtil.isKeepAlive(head);
    }

    /** Whether the client waits for a 100 (Continue) response before it sends the body. */
    boolean expectsContinue() {
        return HttpUtil.is100ContinueExpected(head);
    }

    /** Returns an error response if the head is invalid. */
    Optional<FullHttpResponse> rejectionByHead() {
        if (call == null) {
            return Optional.of(
                    ControlResponses.textLine(
                            HttpResponseStatus.NOT_FOUND, "no such call: " + quoted(head.uri())));
        }
        if (!head.method().equals(call.method())) {
            return Optional.of(
                    ControlResponses.textLine(
                            HttpResponseStatus.METHOD_NOT_ALLOWED, "expected " + call.method()));
        }
        if (HttpUtil.getContentLength(head, 0L) > call.maxBodyBytes()) {
            return Optional.of(payloadTooLarge());
        }
        return Optional.empty();
    }

    private static String quoted(String uri) {
        String path =
                uri.length() > MAX_QUOTED_PATH_CHARS
                        ? uri.substring(0, MAX_QUOTED_PATH_CHARS) + "..."
                        : uri;
        return path.replaceAll("[^\\x21-\\x7e]", "?");
    }

    /** Returns the error response for a body that is longer than the limit of the call. */
    FullHttpResponse payloadTooLarge() {
        return ControlResponses.textLine(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body is longer than " + call.maxBodyBytes() + " bytes");
    }

    /** Returns whether the body is longer than the limit of the call with this part. */
    boolean exceedsLimit(HttpContent content) {
        return body.size() + content.content().readableBytes() > call.maxBodyBytes();
    }

    /** Appends a part of the body; returns false and appends nothing if there is no memory. */
    boolean tryAppend(HttpContent content) {
        boolean isReserved = body.tryReserve(content.content().readableBytes());
        if (isReserved) {
            body.add(content.content());
        }
        return isReserved;
    }

    /** Drops the body. */
    void release() {
        body.take();
    }

    /** Returns the body received so far. */
    byte[] body() {
        return ByteBufUtil.getBytes(body.content());
    }
}
