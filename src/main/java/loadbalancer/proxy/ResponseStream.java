package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;

/** Where a streamed response goes, chunk by chunk. Called on the event loop only. */
public interface ResponseStream {
    /** Writes the next bytes, and takes them over. */
    void write(ByteBuf bytes);

    /** Ends the response, which is cut short unless it is {@code complete}. */
    void end(boolean complete);

    /** Whether more can be written now; if not, {@code resume} runs once it can. */
    boolean isWritable(Runnable resume);
}
