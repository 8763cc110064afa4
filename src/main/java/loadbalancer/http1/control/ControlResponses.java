package loadbalancer.http1.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Creates the responses of a control server. */
final class ControlResponses {
    private static final byte[] LINE_END = {'\n'};

    private ControlResponses() {}

    /** Creates the response with the result of a change. */
    static FullHttpResponse forChange(ChangeResult result) {
        if (result instanceof ChangeResult.Accepted accepted) {
            return json(MessageCodec.encode(accepted));
        }
        if (result instanceof ChangeResult.Unreadable unreadable) {
            return textLine(HttpResponseStatus.BAD_REQUEST, unreadable.reason());
        }
        if (result instanceof ChangeResult.Rejected rejected) {
            return textLine(HttpResponseStatus.CONFLICT, rejected.reason());
        }
        ChangeResult.Unavailable refusal = (ChangeResult.Unavailable) result;
        return unavailable(refusal.retryAfterMillis(), refusal.reason());
    }

    /** Creates a response with a JSON object, which is passed without a line end. */
    static FullHttpResponse json(byte[] json) {
        FullHttpResponse response = response(HttpResponseStatus.OK, json);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        return response;
    }

    /** Creates an error response whose body is one line that states the reason. */
    static FullHttpResponse textLine(HttpResponseStatus status, String text) {
        FullHttpResponse response = response(status, text.getBytes(StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        return response;
    }

    /** Creates a 503 response with one line that states the reason, and a Retry-After header. */
    static FullHttpResponse unavailable(long retryAfterMillis, String reason) {
        FullHttpResponse response = textLine(HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
        response.headers()
                .set(HttpHeaderNames.RETRY_AFTER, ControlProtocol.retryAfter(retryAfterMillis));
        return response;
    }

    /** Creates a 204 response for a successful call without a result. */
    static FullHttpResponse noContent() {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.NO_CONTENT, Unpooled.EMPTY_BUFFER);
    }

    /** Creates the interim response that asks the client to send the request body. */
    static FullHttpResponse continueResponse() {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }

    /** Creates the head of the response whose body carries the lines of a subscription. */
    static HttpResponse subscriptionHead() {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        HttpUtil.setTransferEncodingChunked(head, true);
        return head;
    }

    private static FullHttpResponse response(HttpResponseStatus status, byte[] line) {
        ByteBuf content = Unpooled.wrappedBuffer(line, LINE_END);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        HttpUtil.setContentLength(response, content.readableBytes());
        return response;
    }
}
