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

/** The responses of a control server. */
final class ControlResponses {
    private static final byte[] LINE_END = {'\n'};

    private ControlResponses() {}

    /** What became of a change. */
    static FullHttpResponse of(ChangeResult result) {
        if (result instanceof ChangeResult.Accepted accepted) {
            return json(MessageCodec.encode(accepted));
        }
        if (result instanceof ChangeResult.Unreadable unreadable) {
            return line(HttpResponseStatus.BAD_REQUEST, unreadable.reason());
        }
        if (result instanceof ChangeResult.Rejected rejected) {
            return line(HttpResponseStatus.CONFLICT, rejected.reason());
        }
        ChangeResult.Unavailable unavailable = (ChangeResult.Unavailable) result;
        return deferral(unavailable.retryAfterMillis(), unavailable.reason());
    }

    /** A JSON object, given without a line end. */
    static FullHttpResponse json(byte[] json) {
        FullHttpResponse response = response(HttpResponseStatus.OK, json);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        return response;
    }

    /** One line that says why a request can't be used. */
    static FullHttpResponse line(HttpResponseStatus status, String text) {
        FullHttpResponse response = response(status, text.getBytes(StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        return response;
    }

    /** Not now: one line that says why, and when to come back. */
    static FullHttpResponse deferral(long retryAfterMillis, String reason) {
        FullHttpResponse response = line(HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
        response.headers()
                .set(HttpHeaderNames.RETRY_AFTER, ControlProtocol.retryAfter(retryAfterMillis));
        return response;
    }

    /** Done, and there is nothing to say. */
    static FullHttpResponse noContent() {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.NO_CONTENT, Unpooled.EMPTY_BUFFER);
    }

    /** Invites the body of a request whose head can be used. */
    static FullHttpResponse interimContinue() {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }

    /** The head of the response whose body is the lines of a subscription. */
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
