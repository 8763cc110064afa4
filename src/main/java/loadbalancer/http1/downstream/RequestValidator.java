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
 * Validates requests against the protocol and the settings. Requests that an endpoint would reject,
 * or would answer by closing its connection, are rejected here, since that connection may be reused
 * by other requests. Immutable; defines the header names of the client protocol.
 */
final class RequestValidator {
    private static final AsciiString TIME_LEFT = AsciiString.cached(RequestHead.TIME_LEFT);
    private static final AsciiString ID = AsciiString.cached("X-Correlation-Id");
    private static final AsciiString CLASS = AsciiString.cached("X-Service-Class");
    private static final AsciiString ACCOUNT = AsciiString.cached("X-Account");
    private static final AsciiString KEY = AsciiString.cached("Idempotency-Key");
    private static final AsciiString WEIGHT_HINT = AsciiString.cached("X-Weight-Hint");
    private static final AsciiString REPEAT = AsciiString.cached("X-Repeat");

    /** The header fields that are forwarded; Host, length and time left are set separately. */
    private static final List<AsciiString> FORWARDED_FIELDS =
            List.of(ID, CLASS, ACCOUNT, KEY, REPEAT, WEIGHT_HINT, AsciiString.cached("X-Facts"));

    private static final String AFFINITY_KEY = "key";

    /** Path of a request that asks whether this process is ready; it belongs to no class. */
    static final String HEALTH_CHECK_PATH = "/healthz";

    private static final int MAX_TOKEN_CHARS = 64;

    /** Exceeds the number of digits of any protocol value; 9 digits always fit in a long. */
    private static final int MAX_DIGITS = 9;

    private final LoadedSettings loadedSettings;

    RequestValidator(LoadedSettings loadedSettings) {
        this.loadedSettings = loadedSettings;
    }

    /**
     * Validates a message and returns the descriptor of its request.
     *
     * @throws InvalidInputException if the message is invalid; names the first invalid part
     */
    RequestDescriptor request(HttpRequest message, QueryStringDecoder uri, boolean hasBody)
            throws InvalidInputException {
        HttpHeaders headers = message.headers();
        requireSingleHeaders(message);
        String id = token(headers, ID);
        String className = token(headers, CLASS);
        int classIndex = loadedSettings.classNames().indexOf(className);
        require(classIndex >= 0, CLASS);
        requirePathOfClass(uri.path(), className);
        RequestClass requestClass = loadedSettings.settings().requestClasses().get(classIndex);
        requireMethodAndBodyOfClass(message, requestClass.idempotency(), hasBody);
        int tenantIndex =
                loadedSettings.tenantNames().isEmpty()
                        ? 0
                        : loadedSettings.tenantNames().indexOf(headers.get(ACCOUNT));
        require(tenantIndex >= 0, ACCOUNT);
        long timeLeftMicros = timeLeftMicros(headers, requestClass);
        List<String> keys = uri.parameters().get(AFFINITY_KEY);
        return new RequestDescriptor(
                id,
                classIndex,
                tenantIndex,
                keys == null ? null : keys.get(0),
                headers.contains(WEIGHT_HINT) ? parseNumber(headers, WEIGHT_HINT) : 0,
                timeLeftMicros,
                requestClass.idempotency() != Idempotency.IDEMPOTENT,
                "1".equals(headers.get(REPEAT)));
    }

    /** Returns whether a request that is not validated is a health check. */
    static boolean isHealthCheck(HttpRequest message) {
        String target = target(message);
        return target.equals(HEALTH_CHECK_PATH) || target.startsWith(HEALTH_CHECK_PATH + "?");
    }

    /** Returns the name of the class of a request that is not validated; null if it has none. */
    static String className(HttpRequest message) {
        String name = message.headers().get(CLASS);
        return name == null || name.length() > MAX_TOKEN_CHARS ? null : name;
    }

    private static void requireSingleHeaders(HttpRequest message) throws InvalidInputException {
        HttpHeaders headers = message.headers();
        require(headers.getAll(HttpHeaderNames.HOST).size() <= 1, HttpHeaderNames.HOST);
        for (AsciiString name : FORWARDED_FIELDS) {
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

    private static void requireMethodAndBodyOfClass(
            HttpRequest message, Idempotency idempotency, boolean hasBody)
            throws InvalidInputException {
        boolean isIdempotent = idempotency == Idempotency.IDEMPOTENT;
        HttpMethod method = isIdempotent ? HttpMethod.GET : HttpMethod.POST;
        require(message.method().equals(method), "method");
        require(!isIdempotent || !hasBody, "body");
        // Endpoints need the key to discard a duplicate; a key on a request of any other class is a
        // client error.
        boolean isKeyed = idempotency == Idempotency.KEYED;
        require(message.headers().contains(KEY) == isKeyed, KEY);
        if (isKeyed) {
            token(message.headers(), KEY);
        }
    }

    /**
     * Returns the announced time left, limited to the client timeout of the class: a longer time
     * would keep the request pending beyond that timeout.
     */
    private static long timeLeftMicros(HttpHeaders headers, RequestClass requestClass)
            throws InvalidInputException {
        require(headers.getAll(TIME_LEFT).size() == 1, TIME_LEFT);
        long announced = parseNumber(headers, TIME_LEFT) * 1_000;
        return Math.min(announced, requestClass.clientTimeoutMicros());
    }

    /** Returns the part of a request head that is forwarded, without hop-by-hop fields. */
    static RequestHead forwarded(HttpRequest message) {
        List<HeaderField> fields = new ArrayList<>(FORWARDED_FIELDS.size());
        for (AsciiString name : FORWARDED_FIELDS) {
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
     * Returns path and query of the request target, which may be in absolute form (RFC 9112,
     * section 3.2.2).
     */
    static String target(HttpRequest message) {
        String uri = message.uri();
        int hostStart = uri.startsWith("http://") ? "http://".length() : -1;
        int pathStart = hostStart < 0 ? 0 : uri.indexOf('/', hostStart);
        return pathStart < 0 ? "/" : uri.substring(pathStart);
    }

    private static String token(HttpHeaders headers, AsciiString name)
            throws InvalidInputException {
        String text = headers.get(name);
        require(
                text != null
                        && !text.isEmpty()
                        && text.length() <= MAX_TOKEN_CHARS
                        && text.chars().allMatch(c -> c > ' ' && c < 127),
                name);
        return text;
    }

    private static long parseNumber(HttpHeaders headers, AsciiString name)
            throws InvalidInputException {
        String text = headers.get(name);
        require(
                !text.isEmpty()
                        && text.length() <= MAX_DIGITS
                        && text.chars().allMatch(c -> c >= '0' && c <= '9'),
                name);
        return Long.parseLong(text);
    }

    private static void require(boolean valid, CharSequence name) throws InvalidInputException {
        if (!valid) {
            throw new InvalidInputException("bad or missing " + name);
        }
    }
}
