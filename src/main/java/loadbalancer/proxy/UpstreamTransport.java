package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import loadbalancer.AttemptOutcome;

/**
 * The side towards endpoints: connections, and the attempts on them, in whatever protocol they
 * speak. Called on the event loop only.
 */
public interface UpstreamTransport {
    /**
     * Starts an attempt. The listener never gets its end from within this call, so that the caller
     * has the attempt by then; but it may be asked whether to begin, and told that all is written.
     */
    Attempt start(String upstream, RequestHead head, RequestBody body, Listener listener);

    /** Applies a list of endpoints, or changes of it. */
    void updateEndpoints(EndpointListUpdate list);

    /** How many endpoints are listed. */
    int endpointCount();

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String upstream);

    /** Sets how long a connect may take, and after which idle time endpoints close a connection. */
    void setTimeouts(long connectTimeoutMicros, long idleTimeoutMicros);

    /** Sets the limit on connections to all endpoints together. */
    void setMaxConnections(int connections);

    /** One attempt under way. */
    interface Attempt {
        /**
         * Stops it. Nothing more goes to the endpoint, so that a further attempt is not a hedged
         * one.
         */
        void abandon();
    }

    /** Follows one attempt, and gets its end exactly once. */
    interface Listener {
        /** No time is announced. */
        long NOT_ANNOUNCED = -1;

        /**
         * Asked once, right before the first byte goes out: whether the attempt may still begin.
         * Connects, blocked bodies and a late event loop take time in which a client disconnects, a
         * deadline passes or the idempotency window closes. If not, nothing is written.
         */
        default boolean mayBegin() {
            return true;
        }

        /**
         * Asked right before the head goes out, after {@link #mayBegin}: for how many milliseconds
         * the attempt will be waited for. A dial may have taken much of what was left when it was
         * started. {@link #NOT_ANNOUNCED} where the upstream is not to be told.
         */
        default long timeLeftMillis() {
            return NOT_ANNOUNCED;
        }

        /**
         * The first byte goes out now, and announces that many milliseconds to the endpoint; {@link
         * #NOT_ANNOUNCED} for none.
         */
        default void beginning(long announcedMillis) {}

        /** The attempt has ended; {@code response} is null without a complete response. */
        void ended(AttemptOutcome outcome, Response response);

        /** The last byte of the request was written. */
        default void requestWritten() {}

        /** The head of the response has been read. */
        default void responseHeadReceived() {}

        /**
         * A successful response begins that is too large to be buffered.
         *
         * @param length bytes, -1 if not known
         * @return where it goes; null if nobody wants it
         */
        default ResponseStream responseStarted(long length) {
            return null;
        }
    }

    /**
     * A complete response.
     *
     * @param load the load report that came with it, as text; null if there was none
     * @param body empty if it was streamed
     */
    record Response(String load, ByteBuf body) {}
}
