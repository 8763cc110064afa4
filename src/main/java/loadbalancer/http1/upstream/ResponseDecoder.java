package loadbalancer.http1.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;

/**
 * Reads the answers on one upstream connection, and notices bytes that belong to none: a second
 * copy or noise behind an answer. Left in the decoder, they were taken for the answer to the next
 * request.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** Fewer and larger pieces: each costs a write towards the client. */
    private static final int PIECE = 32 * 1024;

    /** So much may come before the head of the answer is whole: eight heads of the largest size. */
    private static final int MOST_BEFORE = 8 * HttpObjectDecoder.DEFAULT_MAX_HEADER_SIZE;

    private boolean owed;
    private boolean begun;

    /** Bytes of interim answers, blank lines and half a head since the request went out. */
    private int before;

    private boolean surplus;

    ResponseDecoder() {
        super(new HttpDecoderConfig().setMaxChunkSize(PIECE));
    }

    /** A request goes out on this connection. */
    void expect() {
        owed = true;
        begun = false;
        before = 0;
    }

    /** The head of the answer has come, and it is no interim one. */
    void begun() {
        begun = true;
    }

    /** The answer that was owed is whole; from here on nothing may come. */
    void whole() {
        owed = false;
        surplus = actualReadableBytes() > 0;
    }

    /** Whether bytes have come that belong to no answer. */
    boolean surplus() {
        return surplus;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (owed) {
            int came = ((ByteBuf) bytes).readableBytes();
            super.channelRead(ctx, bytes);
            before += begun ? 0 : came;
            if (before > MOST_BEFORE) {
                ctx.fireExceptionCaught(
                        new TooLongHttpHeaderException("too much before an answer"));
            }
        } else {
            surplus = true;
            ReferenceCountUtil.release(bytes);
        }
    }

    /**
     * The library takes a line with no colon for a name with no value; such a head can't be
     * trusted.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("no colon behind a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }
}
