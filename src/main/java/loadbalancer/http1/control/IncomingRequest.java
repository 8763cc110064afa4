package loadbalancer.http1.control;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/**
 * One request while it is received: its head, which names the call, and its body within the bound
 * of that call. For the loop's thread.
 */
final class IncomingRequest {
    private static final int MAX_QUOTED_PATH_CHARS = 80;

    private final HttpRequest head;
    private final QueryStringDecoder query;
    private final ControlCall call;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    IncomingRequest(HttpRequest head) {
        this.head = head;
        this.query = new QueryStringDecoder(head.uri());
        this.call = ControlCall.at(pathOf(query));
    }

    private static String pathOf(QueryStringDecoder query) {
        try {
            return query.path();
        } catch (IllegalArgumentException e) {
            return ""; // a percent sign with no digits behind it
        }
    }

    /** The call that the path names; null if the head is rejected for it. */
    ControlCall call() {
        return call;
    }

    QueryStringDecoder query() {
        return query;
    }

    boolean isKeepAlive() {
        return HttpUtil.isKeepAlive(head);
    }

    /** Whether the client waits for an interim response before it sends the body. */
    boolean expectsContinue() {
        return HttpUtil.is100ContinueExpected(head);
    }

    /** The response to a request whose head is enough to reject it. */
    Optional<FullHttpResponse> rejectionByHead() {
        if (call == null) {
            return Optional.of(
                    ControlResponses.line(
                            HttpResponseStatus.NOT_FOUND, "no such call: " + quoted(head.uri())));
        }
        if (!head.method().equals(call.method())) {
            return Optional.of(
                    ControlResponses.line(
                            HttpResponseStatus.METHOD_NOT_ALLOWED, "expected " + call.method()));
        }
        if (HttpUtil.getContentLength(head, 0L) > call.maxBodyBytes()) {
            return Optional.of(oversized());
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

    /** The response to a request whose body is longer than its call allows. */
    FullHttpResponse oversized() {
        return ControlResponses.line(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body is longer than " + call.maxBodyBytes() + " bytes");
    }

    /** Adds a part of the body; false, with nothing added, if it exceeds the bound. */
    boolean append(HttpContent content) {
        int length = content.content().readableBytes();
        if (body.size() + length > call.maxBodyBytes()) {
            return false;
        }
        try {
            content.content().readBytes(body, length);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // there is no I/O in memory
        }
        return true;
    }

    /** The body that was received. */
    byte[] body() {
        return body.toByteArray();
    }
}
