package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;

/** Where the one final answer of a request goes. */
public interface ResponseSink extends ResponseStream {
    /** Served; takes over the whole body. */
    void served(ByteBuf body);

    /**
     * Served with an answer too large to be held, whose pieces follow; {@code length} -1 is not
     * told.
     */
    void serving(long length);

    /** Refused; {@code retryAfter} is in microseconds, 0 for no advice. */
    void refused(long retryAfter);

    /** Failed; nothing is promised. */
    void failed();

    /** Whether it is still there; looked at now if that has not been done lately. */
    default boolean isHere() {
        return true;
    }
}
