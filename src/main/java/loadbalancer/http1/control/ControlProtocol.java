package loadbalancer.http1.control;

import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.util.Locale;

/**
 * The HTTP form of the control calls: paths, query parameters and size limits that both sides
 * share. The values of the constants are part of the protocol.
 */
final class ControlProtocol {
    static final String SUBSCRIPTION_PATH = "/v1/control";
    static final String ACKNOWLEDGEMENT_PATH = "/v1/control/acknowledgements";
    static final String REPORT_PATH = "/v1/control/reports";
    static final String STATUS_PATH = "/v1/control/status";
    static final String CHANGE_PATH = "/v1/changes";

    static final String NAME_PARAMETER = "name";
    static final String ZONE_PARAMETER = "zone";
    static final String SERVICES_PARAMETER = "services";
    static final String REVISION_PARAMETER = "since";
    static final String DIGEST_PARAMETER = "digest";
    static final String FOLLOW_PARAMETER = "follow";

    /**
     * Limit of one line of a subscription. A part is about 16 KiB, or longer if it consists of a
     * single larger resource; none reaches this limit.
     */
    static final int MAX_LINE_BYTES = 1 << 20;

    /** Limit of a change; the largest allowed number of resources in one change fits into it. */
    static final int MAX_CHANGE_BYTES = 4 << 20;

    /**
     * Limit of an acknowledgement. It usually has a few hundred bytes; a rejection also has a place
     * and a reason.
     */
    static final int MAX_ACKNOWLEDGEMENT_BYTES = 16 << 10;

    /** Limit of a report, which may list a rejection of every subscriber of a control server. */
    static final int MAX_REPORT_BYTES = 1 << 20;

    /** Limit of a response other than a subscription; the longest one is a status. */
    static final int MAX_RESPONSE_BYTES = 4 << 20;

    /** Allows for the names of 590 services in the query of a subscription. */
    static final int MAX_REQUEST_LINE_BYTES = 128 << 10;

    /** Connect timeout of a client of a control server. */
    static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    static final int MAX_HEADER_BYTES = 8 << 10;
    private static final int MAX_CHUNK_BYTES = 32 << 10;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long MAX_RETRY_AFTER_MILLIS = 600_000;

    private ControlProtocol() {}

    /** Sets the size limits of an HTTP decoder, and returns its configuration. */
    static HttpDecoderConfig limitSizes(HttpDecoderConfig config) {
        return config.setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES);
    }

    /** Creates the codec of a client connection. */
    static HttpClientCodec clientCodec() {
        return new HttpClientCodec(limitSizes(new HttpDecoderConfig()), false, false);
    }

    /** Returns the {@code Host} header value of requests to a server. */
    static String host(InetSocketAddress server) {
        return server.getHostString() + ":" + server.getPort();
    }

    /** Formats milliseconds as a {@code Retry-After} value: seconds with three decimals. */
    static String retryAfter(long millis) {
        return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
    }

    /**
     * Parses a {@code Retry-After} value and returns milliseconds, at most ten minutes; 0 if the
     * value is null or not a positive number of seconds.
     */
    static long retryAfterMillis(String value) {
        if (value == null) {
            return 0;
        }
        try {
            double millis = Double.parseDouble(value.strip()) * MILLIS_PER_SECOND;
            return millis > 0 ? (long) Math.min(millis, MAX_RETRY_AFTER_MILLIS) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
