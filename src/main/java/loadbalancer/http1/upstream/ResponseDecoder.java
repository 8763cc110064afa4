package loadbalancer.http1.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import loadbalancer.http1.codec.LimitedHttpHeadersFactory;
import loadbalancer.transport.MemoryQuota;

/**
 * Decodes the responses on one upstream connection and detects surplus bytes that belong to no
 * response, such as a duplicate response. If they stayed in the decoder, they would be read as the
 * response to the next request.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** Larger than Netty's default, since each chunk causes a write to the client. */
    private static final int MAX_CHUNK_BYTES = 32 * 1024;

    /** Limit of the bytes before the final head is complete: eight heads of maximum size. */
    private static final int MAX_BYTES_BEFORE_HEAD = 8 * HttpObjectDecoder.DEFAULT_MAX_HEADER_SIZE;

    private final LimitedHttpHeadersFactory headers;
    private boolean responseExpected;
    private boolean headReceived;

    /** Bytes received since the request was sent and before the final head was complete. */
    private int bytesBeforeHead;

    private boolean surplus;

    ResponseDecoder(MemoryQuota quota) {
        this(new LimitedHttpHeadersFactory(quota));
    }

    private ResponseDecoder(LimitedHttpHeadersFactory headers) {
        super(headers.decoderConfig().setMaxChunkSize(MAX_CHUNK_BYTES));
        this.headers = headers;
    }

    /** Expects the response to a request that is about to be written. */
    void expectResponse() {
        responseExpected = true;
        headReceived = false;
        bytesBeforeHead = 0;
    }

    /** Records that the head of the final response has been read. */
    void responseHeadReceived() {
        headReceived = true;
    }

    /** Records that the response is complete; all further bytes are surplus. */
    void responseCompleted() {
        responseExpected = false;
        surplus = actualReadableBytes() > 0;
        headers.releaseAll();
    }

    /** Stops counting the memory of header fields. Called when the connection is closed. */
    void closeHeaders() {
        headers.close();
    }

    /** Whether bytes that belong to no response have arrived. */
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
                        new TooLongHttpHeaderException(
                                "too many bytes before the head of the final response"));
            }
        } else {
            surplus = true;
            ReferenceCountUtil.release(bytes);
        }
    }

    /**
     * Rejects a header line without a colon, which Netty would accept as a name without a value.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("header line without a colon after the name");
        }
        return super.splitHeaderName(line, start, length);
    }
}
