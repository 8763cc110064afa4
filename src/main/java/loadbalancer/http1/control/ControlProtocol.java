package loadbalancer.http1.control;

import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.util.Locale;

/**
 * The wire form of the control calls: paths, query parameters and bounds that both sides agree on.
 * Names here are part of the protocol; other classes use the constants.
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
     * A part is about 16 KiB; only one with a single larger resource is longer, none as long as
     * this.
     */
    static final int MAX_LINE_BYTES = 1 << 20;

    /** A change of as many resources as one may touch is shorter. */
    static final int MAX_CHANGE_BYTES = 4 << 20;

    /** An acknowledgement is some hundred bytes; a rejection has place and reason. */
    static final int MAX_ACKNOWLEDGEMENT_BYTES = 16 << 10;

    /** A report lists the rejections of up to all subscribers of a machine. */
    static final int MAX_REPORT_BYTES = 1 << 20;

    /** A response other than a subscription; the longest is a status. */
    static final int MAX_RESPONSE_BYTES = 4 << 20;

    /** Enough for the names of 590 services in the query of a subscription. */
    static final int MAX_REQUEST_LINE_BYTES = 128 << 10;

    /** For a client's connection to a control machine. */
    static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    static final int MAX_HEADER_BYTES = 8 << 10;
    private static final int MAX_CHUNK_BYTES = 32 << 10;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long MAX_RETRY_AFTER_MILLIS = 600_000;

    private ControlProtocol() {}

    /** Bounds of what a codec decodes. */
    static HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES);
    }

    /** The codec of a client's connection. */
    static HttpClientCodec clientCodec() {
        return new HttpClientCodec(decoderConfig(), false, false);
    }

    /** The value of {@code Host} in requests to that server. */
    static String host(InetSocketAddress server) {
        return server.getHostString() + ":" + server.getPort();
    }

    /** Milliseconds as the value of {@code Retry-After}: seconds with decimals. */
    static String retryAfter(long millis) {
        return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
    }

    /**
     * The milliseconds that a {@code Retry-After} asks for, at most ten minutes; 0 if it is absent
     * or no number of seconds.
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
