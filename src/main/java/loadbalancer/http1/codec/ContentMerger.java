package loadbalancer.http1.codec;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.IntConsumer;

/**
 * Merges the small parts of a body that one read brings. Each part that is passed on costs a write
 * to the other side, so that a peer that sends chunks of one byte would take all of the event loop.
 * A part is held until the end of the read at the latest.
 */
public final class ContentMerger extends ChannelInboundHandlerAdapter {
    /** Size in bytes up to which a part is copied; larger ones are passed on as they are. */
    private static final int SMALL_PART_BYTES = 1024;

    /** Size in bytes from which merged parts are passed on before the end of the read. */
    private static final int MAX_MERGED_BYTES = 16 * 1024;

    private final IntConsumer onReadEnd;

    /** The parts of the current read; null if there is none. */
    private ByteBuf merged;

    private int smallParts;

    /** Creates a merger whose parts nobody counts. */
    public ContentMerger() {
        this(smallParts -> {});
    }

    /**
     * Creates a merger.
     *
     * @param onReadEnd receives the number of small parts of each read
     */
    public ContentMerger(IntConsumer onReadEnd) {
        this.onReadEnd = onReadEnd;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!isSmallPart(message)) {
            passOn(context);
            context.fireChannelRead(message);
            return;
        }
        smallParts++;
        HttpContent part = (HttpContent) message;
        try {
            add(part.content());
        } finally {
            part.release();
        }
        if (merged.readableBytes() >= MAX_MERGED_BYTES) {
            passOn(context);
        }
    }

    private static boolean isSmallPart(Object message) {
        return message instanceof HttpContent part
                && !(message instanceof HttpMessage)
                && !(message instanceof LastHttpContent)
                && part.decoderResult().isSuccess()
                && part.content().readableBytes() <= SMALL_PART_BYTES;
    }

    private void add(ByteBuf bytes) {
        if (merged == null) {
            merged = Unpooled.buffer(bytes.readableBytes());
        }
        merged.writeBytes(bytes);
    }

    private void passOn(ChannelHandlerContext context) {
        if (merged != null) {
            ByteBuf parts = merged;
            merged = null;
            context.fireChannelRead(new DefaultHttpContent(parts));
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        passOn(context);
        int counted = smallParts;
        smallParts = 0;
        onReadEnd.accept(counted);
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        passOn(context);
        context.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        if (merged != null) {
            merged.release();
            merged = null;
        }
    }
}
