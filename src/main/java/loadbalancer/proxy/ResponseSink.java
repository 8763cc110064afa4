package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;

/** The client's side of a request: gets its one final response. Called on the event loop only. */
public interface ResponseSink extends ResponseStream {
    /** Responds with success; takes over the complete body. */
    void respondSuccess(ByteBuf body);

    /** Begins a streamed response of so many bytes, -1 if not known; its content follows. */
    void startResponse(long length);

    /**
     * Responds that the request was rejected and may be retried after that time; 0 for no advice.
     */
    void respondRejected(long retryAfterMicros);

    /** Responds that the request failed; it may have been executed. */
    void respondFailed();

    /** Whether the client is still connected; reads its connection if that was not done lately. */
    default boolean isClientConnected() {
        return true;
    }
}
