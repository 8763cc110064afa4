package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import loadbalancer.AttemptOutcome;

/**
 * Connects to endpoints and sends attempts, independent of the protocol. Called on the event loop
 * only.
 */
public interface UpstreamTransport {
    /**
     * Starts an attempt. {@link Listener#ended} is never called before this method returns, so that
     * the caller has the attempt by then; the calls up to {@link Listener#requestWritten} may come
     * before.
     *
     * @param endpointId id of the endpoint in the endpoint list
     */
    Attempt start(String endpointId, RequestHead head, RequestBody body, Listener listener);

    /** Applies an endpoint list, or changes to it. */
    void updateEndpoints(EndpointListUpdate list);

    /** Returns the number of listed endpoints. */
    int endpointCount();

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpointId);

    /**
     * Sets the time-outs of connections.
     *
     * @param connectTimeoutMicros maximum time for a connect
     * @param idleTimeoutMicros idle time after which endpoints close a connection
     */
    void setTimeouts(long connectTimeoutMicros, long idleTimeoutMicros);

    /** Sets the maximum number of connections to all endpoints together. */
    void setMaxConnections(int connections);

    /** A started attempt. */
    interface Attempt {
        /**
         * Stops the attempt. Nothing more is sent to the endpoint, so that a further attempt does
         * not count as hedged.
         */
        void abandon();
    }

    /** Receives the events of one attempt. {@link #ended} is called exactly once. */
    interface Listener {
        /** Value of {@link #timeLeftMillis} for an attempt that announces no time. */
        long NOT_ANNOUNCED = -1;

        /**
         * Returns whether the attempt may still begin; if not, nothing is written. Called once,
         * right before the first byte is sent: while a connect, a blocked body or a late event loop
         * delays it, the client may disconnect, or the deadline or the idempotency window may pass.
         */
        default boolean mayBegin() {
            return true;
        }

        /**
         * Returns for how many milliseconds the client will wait for this attempt, or {@link
         * #NOT_ANNOUNCED} to announce no time to the endpoint. Called after {@link #mayBegin},
         * right before the head is sent, because a connect may have used up much of the time that
         * was left when the attempt was started.
         */
        default long timeLeftMillis() {
            return NOT_ANNOUNCED;
        }

        /**
         * Called when the first byte is sent.
         *
         * @param announcedMillis time announced to the endpoint, or {@link #NOT_ANNOUNCED}
         */
        default void attemptBegins(long announcedMillis) {}

        /**
         * Called when the attempt has ended.
         *
         * @param response the complete response; null if there is none
         */
        void ended(AttemptOutcome outcome, Response response);

        /** Called when the last byte of the request was written. */
        default void requestWritten() {}

        /** Called when the head of the response was read. */
        default void responseHeadReceived() {}

        /**
         * Called when a successful response starts that is too large to be buffered.
         *
         * @param length size in bytes, -1 if unknown
         * @return the stream that receives the response; null to discard it
         */
        default ResponseStream responseStarted(long length) {
            return null;
        }
    }

    /**
     * A complete response.
     *
     * @param load the load report of the response, unparsed; null if there was none
     * @param body the body; empty if it was streamed
     */
    record Response(String load, ByteBuf body) {}
}
