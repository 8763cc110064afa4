package loadbalancer.http1.downstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.Idempotency;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;
import loadbalancer.proxy.HeaderField;
import loadbalancer.proxy.RequestHead;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.SettingsReader;

/**
 * Checks what a client sends against the protocol. Whatever an upstream would turn away, or close
 * on, is no request: on its connection others could be waiting.
 */
final class RequestValidator {
    private static final AsciiString TIME_LEFT = AsciiString.cached(RequestHead.TIME_LEFT);
    private static final AsciiString ID = AsciiString.cached("X-Correlation-Id");
    private static final AsciiString CLASS = AsciiString.cached("X-Service-Class");
    private static final AsciiString ACCOUNT = AsciiString.cached("X-Account");
    private static final AsciiString KEY = AsciiString.cached("Idempotency-Key");
    private static final AsciiString HINT = AsciiString.cached("X-Weight-Hint");
    private static final AsciiString REPEAT = AsciiString.cached("X-Repeat");

    /**
     * All of a request's head that goes on to upstreams, but for host, length and the time left.
     */
    private static final List<AsciiString> FORWARDED =
            List.of(ID, CLASS, ACCOUNT, KEY, REPEAT, HINT, AsciiString.cached("X-Facts"));

    private static final int LONGEST_ID = 64;

    /** More digits than any figure of the protocol has; fewer than a long holds. */
    private static final int MOST_DIGITS = 9;

    private final SettingsReader.Found facts;

    RequestValidator(SettingsReader.Found facts) {
        this.facts = facts;
    }

    /**
     * The request as the module takes it; complains of the first thing that is not of the protocol.
     */
    RequestDescriptor request(HttpRequest message, QueryStringDecoder uri, boolean hasBody)
            throws InvalidInputException {
        HttpHeaders headers = message.headers();
        require(headers.getAll(HttpHeaderNames.HOST).size() <= 1, HttpHeaderNames.HOST);
        for (AsciiString name : FORWARDED) {
            require(headers.getAll(name).size() <= 1, name);
        }
        require(message.protocolVersion().equals(HttpVersion.HTTP_1_1), "version");
        String id = word(headers, ID);
        String name = word(headers, CLASS);
        int cls = facts.classes().indexOf(name);
        require(cls >= 0, CLASS);
        String path = uri.path();
        require(
                path.startsWith(name, 1)
                        && path.charAt(0) == '/'
                        && (path.length() == name.length() + 1
                                || path.charAt(name.length() + 1) == '/'),
                "path");
        RequestClass requestClass = facts.settings().requestClasses().get(cls);
        Idempotency effect = requestClass.idempotency();
        require(
                message.method()
                        .equals(
                                effect == Idempotency.IDEMPOTENT
                                        ? HttpMethod.GET
                                        : HttpMethod.POST),
                "method");
        require(effect != Idempotency.IDEMPOTENT || !hasBody, "body");
        // Without the key upstreams couldn't drop a repeat; with one it is the client that is
        // mistaken.
        require(headers.contains(KEY) == (effect == Idempotency.KEYED), KEY);
        if (effect == Idempotency.KEYED) {
            word(headers, KEY);
        }
        int tenant = facts.tenants().isEmpty() ? 0 : facts.tenants().indexOf(headers.get(ACCOUNT));
        require(tenant >= 0, ACCOUNT);
        require(headers.getAll(TIME_LEFT).size() == 1, TIME_LEFT);
        // No client waits for longer than its class does; believed, a deadline in a month is held
        // till then.
        long left =
                Math.min(number(headers, TIME_LEFT) * 1_000, requestClass.clientTimeoutMicros());
        List<String> keys = uri.parameters().get("key");
        return new RequestDescriptor(
                id,
                cls,
                tenant,
                keys == null ? null : keys.get(0),
                headers.contains(HINT) ? number(headers, HINT) : 0,
                left,
                effect != Idempotency.IDEMPOTENT,
                "1".equals(headers.get(REPEAT)));
    }

    /**
     * What goes on to upstreams: a wish of the client for its own connection, say, is none for
     * ours.
     */
    static RequestHead forwarded(HttpRequest message) {
        List<HeaderField> fields = new ArrayList<>(FORWARDED.size());
        for (AsciiString name : FORWARDED) {
            String value = message.headers().get(name);
            if (value != null) {
                fields.add(new HeaderField(name, value));
            }
        }
        return new RequestHead(
                message.method().name(),
                target(message),
                message.headers().get(HttpHeaderNames.HOST),
                message.method().equals(HttpMethod.POST),
                fields);
    }

    /** The request's target by path and query, also where the client has named the host with it. */
    static String target(HttpRequest message) {
        String uri = message.uri();
        int host = uri.startsWith("http://") ? "http://".length() : -1;
        int path = host < 0 ? 0 : uri.indexOf('/', host);
        return path < 0 ? "/" : uri.substring(path);
    }

    private static String word(HttpHeaders headers, AsciiString name) throws InvalidInputException {
        String text = headers.get(name);
        require(
                text != null
                        && !text.isEmpty()
                        && text.length() <= LONGEST_ID
                        && text.chars().allMatch(c -> c > ' ' && c < 127),
                name);
        return text;
    }

    private static long number(HttpHeaders headers, AsciiString name) throws InvalidInputException {
        String text = headers.get(name);
        require(
                !text.isEmpty()
                        && text.length() <= MOST_DIGITS
                        && text.chars().allMatch(c -> c >= '0' && c <= '9'),
                name);
        return Long.parseLong(text);
    }

    private static void require(boolean good, CharSequence what) throws InvalidInputException {
        if (!good) {
            throw new InvalidInputException("bad or missing " + what);
        }
    }
}
