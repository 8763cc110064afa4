package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;

/** Sends the final response of a request to its client. Called on the event loop only. */
public interface ResponseSink extends ResponseStream {
    /** Sends a successful response with this complete body, and releases the body. */
    void respondSuccess(ByteBuf body);

    /**
     * Starts a streamed response, whose content follows by {@link #write}.
     *
     * @param length size in bytes, -1 if unknown
     */
    void startResponse(long length);

    /**
     * Responds that the request was rejected.
     *
     * @param retryAfterMicros time after which the client may retry; 0 to give no advice
     */
    void respondRejected(long retryAfterMicros);

    /** Responds that the request failed; an endpoint may have executed it. */
    void respondFailed();

    /** Returns whether the client is connected; reads its connection first if that is due. */
    default boolean isClientConnected() {
        return true;
    }
}
