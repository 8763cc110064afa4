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
 * Decodes the responses on one upstream connection, and notices bytes that belong to none, such as
 * a duplicate behind a response. Left in the decoder, they would be taken for the response to the
 * next request.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** Larger than the default: each chunk costs a write towards the client. */
    private static final int MAX_CHUNK_BYTES = 32 * 1024;

    /** Limit before the final head is complete: eight heads of the largest size. */
    private static final int MAX_BYTES_BEFORE_HEAD = 8 * HttpObjectDecoder.DEFAULT_MAX_HEADER_SIZE;

    private boolean responseExpected;
    private boolean headReceived;

    /** Bytes of interim responses, blank lines and half a head since the request went out. */
    private int bytesBeforeHead;

    private boolean surplus;

    ResponseDecoder() {
        super(new HttpDecoderConfig().setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /** A request goes out on this connection. */
    void expectResponse() {
        responseExpected = true;
        headReceived = false;
        bytesBeforeHead = 0;
    }

    /** The head of the final response has been read. */
    void responseHeadReceived() {
        headReceived = true;
    }

    /** The expected response is complete; from here on nothing may arrive. */
    void responseCompleted() {
        responseExpected = false;
        surplus = actualReadableBytes() > 0;
    }

    /** Whether bytes have arrived that belong to no response. */
    boolean hasSurplusBytes() {
        return surplus;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (responseExpected) {
            int received = ((ByteBuf) bytes).readableBytes();
            super.channelRead(ctx, bytes);
            bytesBeforeHead += headReceived ? 0 : received;
            if (bytesBeforeHead > MAX_BYTES_BEFORE_HEAD) {
                ctx.fireExceptionCaught(
                        new TooLongHttpHeaderException("too much before an answer"));
            }
        } else {
            surplus = true;
            ReferenceCountUtil.release(bytes);
        }
    }

    /** Netty takes a line without a colon for a name without a value; it is malformed. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("no colon behind a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }
}
