package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;

/** Receives a streamed response in chunks. Called on the event loop only. */
public interface ResponseStream {
    /** Writes the next bytes and releases them. */
    void write(ByteBuf bytes);

    /** Ends the response; one that is not {@code complete} is cut short. */
    void end(boolean complete);

    /** Returns whether more can be written now; if not, {@code resume} runs once it can be. */
    boolean isWritable(Runnable resume);
}
