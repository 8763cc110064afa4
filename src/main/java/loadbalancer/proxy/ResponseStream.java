package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;

/** Where a large answer goes, piece by piece, to its end or to where it breaks off. */
public interface ResponseStream {
    /** Takes over the next bytes. */
    void piece(ByteBuf bytes);

    /** That was all of it, or it ends here and is not {@code whole}. */
    void end(boolean whole);

    /** Whether more can go that way now; when it can again, {@code resume} is called. */
    boolean isWritable(Runnable resume);
}
