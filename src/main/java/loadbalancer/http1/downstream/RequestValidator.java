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
import loadbalancer.settings.LoadedSettings;

/**
 * Validates requests against the protocol and the settings. What an endpoint would reject, or close
 * its connection on, is refused here, since other requests could share that connection. Immutable;
 * the header names of the protocol stand here alone.
 */
final class RequestValidator {
    private static final AsciiString TIME_LEFT = AsciiString.cached(RequestHead.TIME_LEFT);
    private static final AsciiString ID = AsciiString.cached("X-Correlation-Id");
    private static final AsciiString CLASS = AsciiString.cached("X-Service-Class");
    private static final AsciiString ACCOUNT = AsciiString.cached("X-Account");
    private static final AsciiString KEY = AsciiString.cached("Idempotency-Key");
    private static final AsciiString HINT = AsciiString.cached("X-Weight-Hint");
    private static final AsciiString REPEAT = AsciiString.cached("X-Repeat");

    /** The fields that are forwarded; host, length and the time left are set anew. */
    private static final List<AsciiString> FORWARDED =
            List.of(ID, CLASS, ACCOUNT, KEY, REPEAT, HINT, AsciiString.cached("X-Facts"));

    private static final String AFFINITY_KEY = "key";

    private static final int MAX_WORD_CHARS = 64;

    /** More digits than any number of the protocol has, and fewer than a long holds. */
    private static final int MAX_DIGITS = 9;

    private final LoadedSettings facts;

    RequestValidator(LoadedSettings facts) {
        this.facts = facts;
    }

    /**
     * The request that a message stands for.
     *
     * @throws InvalidInputException naming the first part that is not of the protocol
     */
    RequestDescriptor request(HttpRequest message, QueryStringDecoder uri, boolean hasBody)
            throws InvalidInputException {
        HttpHeaders headers = message.headers();
        requireSingleHeaders(message);
        String id = word(headers, ID);
        String className = word(headers, CLASS);
        int classIndex = facts.classNames().indexOf(className);
        require(classIndex >= 0, CLASS);
        requirePathOfClass(uri.path(), className);
        RequestClass requestClass = facts.settings().requestClasses().get(classIndex);
        requireFormOfClass(message, requestClass.idempotency(), hasBody);
        int tenantIndex =
                facts.tenantNames().isEmpty()
                        ? 0
                        : facts.tenantNames().indexOf(headers.get(ACCOUNT));
        require(tenantIndex >= 0, ACCOUNT);
        long timeLeftMicros = timeLeftMicros(headers, requestClass);
        List<String> keys = uri.parameters().get(AFFINITY_KEY);
        return new RequestDescriptor(
                id,
                classIndex,
                tenantIndex,
                keys == null ? null : keys.get(0),
                headers.contains(HINT) ? number(headers, HINT) : 0,
                timeLeftMicros,
                requestClass.idempotency() != Idempotency.IDEMPOTENT,
                "1".equals(headers.get(REPEAT)));
    }

    private static void requireSingleHeaders(HttpRequest message) throws InvalidInputException {
        HttpHeaders headers = message.headers();
        require(headers.getAll(HttpHeaderNames.HOST).size() <= 1, HttpHeaderNames.HOST);
        for (AsciiString name : FORWARDED) {
            require(headers.getAll(name).size() <= 1, name);
        }
        require(message.protocolVersion().equals(HttpVersion.HTTP_1_1), "version");
    }

    private static void requirePathOfClass(String path, String className)
            throws InvalidInputException {
        boolean beginsWithClass = path.startsWith(className, 1) && path.charAt(0) == '/';
        int end = className.length() + 1;
        require(beginsWithClass && (path.length() == end || path.charAt(end) == '/'), "path");
    }

    private static void requireFormOfClass(
            HttpRequest message, Idempotency idempotency, boolean hasBody)
            throws InvalidInputException {
        boolean isIdempotent = idempotency == Idempotency.IDEMPOTENT;
        HttpMethod method = isIdempotent ? HttpMethod.GET : HttpMethod.POST;
        require(message.method().equals(method), "method");
        require(!isIdempotent || !hasBody, "body");
        // Without the key, endpoints could not discard a retry; with one of another class, the
        // client is mistaken.
        boolean isKeyed = idempotency == Idempotency.KEYED;
        require(message.headers().contains(KEY) == isKeyed, KEY);
        if (isKeyed) {
            word(message.headers(), KEY);
        }
    }

    /** At most what the class gives its clients: a longer time would hold the request for that. */
    private static long timeLeftMicros(HttpHeaders headers, RequestClass requestClass)
            throws InvalidInputException {
        require(headers.getAll(TIME_LEFT).size() == 1, TIME_LEFT);
        long announced = number(headers, TIME_LEFT) * 1_000;
        return Math.min(announced, requestClass.clientTimeoutMicros());
    }

    /** The part of a head that is forwarded; hop-by-hop fields are not. */
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

    /**
     * Path and query of the target, also where it is in absolute form (RFC 9112, section 3.2.2).
     */
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
                        && text.length() <= MAX_WORD_CHARS
                        && text.chars().allMatch(c -> c > ' ' && c < 127),
                name);
        return text;
    }

    private static long number(HttpHeaders headers, AsciiString name) throws InvalidInputException {
        String text = headers.get(name);
        require(
                !text.isEmpty()
                        && text.length() <= MAX_DIGITS
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
