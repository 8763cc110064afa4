package loadbalancer.http1.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.math.BigDecimal;

/**
 * Writes the responses of one client connection, one after the other, and tells how far the client
 * has read. Used on the event loop only; every buffer handed in is released by the channel.
 */
final class ResponseWriter {
    /** Decimal places of a Retry-After that is given in microseconds. */
    private static final int MICROS_SCALE = 6;

    private static final Runnable NOTHING = () -> {};

    /** Told how writing goes on. */
    interface Listener {
        /** Something is out that the client has not read yet. */
        void writePending();

        /** All of it so far has been read. */
        void writesDrained();

        /** The connection can't be written to any more. */
        void writeFailed();
    }

    private final Channel channel;
    private final Listener listener;
    private boolean responding;
    private int pendingWrites;
    private Runnable whenWritable;

    ResponseWriter(Channel channel, Listener listener) {
        this.channel = channel;
        this.listener = listener;
    }

    /** Whether any of a response has been written that is not written whole. */
    boolean isResponding() {
        return responding;
    }

    /** The response under way is complete. */
    void responseCompleted() {
        responding = false;
    }

    /** Tells a client that waits for it to send its body (RFC 9110, section 10.1.1). */
    void writeContinue() {
        channel.writeAndFlush(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    /**
     * Writes a complete response.
     *
     * @param retryAfterMicros advice to the client, 0 for none
     * @param last whether the connection ends behind it, which the head then says
     * @param written runs once the client has it
     */
    void write(
            HttpResponseStatus status,
            ByteBuf body,
            long retryAfterMicros,
            boolean last,
            Runnable written) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (retryAfterMicros > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfterMicros));
        }
        announceEnd(response, last);
        send(response, written);
    }

    /** Begins a streamed response of so many bytes, -1 if that is not known. */
    void writeHead(long length, boolean last) {
        DefaultHttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (length < 0) {
            HttpUtil.setTransferEncodingChunked(head, true);
        } else {
            HttpUtil.setContentLength(head, length);
        }
        announceEnd(head, last);
        send(head, NOTHING);
    }

    /** The next bytes of a streamed response. */
    void writeContent(ByteBuf bytes) {
        send(new DefaultHttpContent(bytes), NOTHING);
    }

    /** Ends a streamed response. */
    void writeEnd(Runnable written) {
        send(LastHttpContent.EMPTY_LAST_CONTENT, written);
    }

    private static String seconds(long micros) {
        return BigDecimal.valueOf(micros, MICROS_SCALE).toPlainString();
    }

    private static void announceEnd(HttpResponse response, boolean last) {
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void send(Object message, Runnable written) {
        responding = true;
        if (pendingWrites++ == 0) {
            listener.writePending();
        }
        channel.writeAndFlush(message)
                .addListener(future -> completed(future.isSuccess(), written));
    }

    private void completed(boolean success, Runnable written) {
        pendingWrites--;
        if (!success) {
            listener.writeFailed();
            return;
        }
        listener.writesDrained();
        if (pendingWrites > 0) {
            listener.writePending(); // the client reads: its time begins anew
        }
        written.run();
    }

    /** Whether more can be written now; if not, {@code resume} runs once it can. */
    boolean isWritable(Runnable resume) {
        whenWritable = channel.isWritable() ? null : resume;
        return whenWritable == null;
    }

    /** The channel has become writable, or has ceased to be. */
    void writabilityChanged() {
        if (whenWritable != null && channel.isWritable()) {
            Runnable resume = whenWritable;
            whenWritable = null;
            resume.run();
        }
    }
}
