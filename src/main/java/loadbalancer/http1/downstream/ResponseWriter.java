package loadbalancer.http1.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
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
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.PendingWrites;

/**
 * Writes the responses of one client connection one at a time and notifies a listener of the write
 * progress. Used on the event loop only; the channel releases every buffer that is passed in.
 */
final class ResponseWriter {
    /** Decimal places of a Retry-After that is given in microseconds. */
    private static final int MICROS_SCALE = 6;

    private static final Runnable NO_ACTION = () -> {};

    /** Receives the progress of writes to the client. */
    interface Listener {
        /** Written bytes are pending because the client has not read them yet. */
        void writePending();

        /** A pending write has completed; {@link #writePending} follows if others are pending. */
        void writesDrained();

        /** A write has failed, so the connection can't be written to any more. */
        void writeFailed();
    }

    private final Channel channel;
    private final Listener listener;
    private final PendingWrites pendingBytes;
    private boolean responding;
    private int pendingWrites;
    private Runnable whenWritable;

    ResponseWriter(Channel channel, MemoryQuota quota, Listener listener) {
        this.channel = channel;
        this.listener = listener;
        this.pendingBytes = new PendingWrites(channel, quota, MemoryQuota.Purpose.RESPONSE);
    }

    /** Whether a response has been started and is not complete. */
    boolean isResponding() {
        return responding;
    }

    /** Marks the current response as complete. */
    void responseCompleted() {
        responding = false;
    }

    /** Writes a 100 (Continue) response to an Expect header (RFC 9110, section 10.1.1). */
    void writeContinue() {
        channel.writeAndFlush(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    /**
     * Writes a complete response.
     *
     * @param retryAfterMicros value of the Retry-After header; 0 to omit it
     * @param last whether the connection ends after this response; adds {@code Connection: close}
     * @param written runs once the write has completed
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
        announceClose(response, last);
        send(response, written);
    }

    /** Begins a streamed response with a body of the given length; -1 if it is not known. */
    void writeHead(long length, boolean last) {
        DefaultHttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (length < 0) {
            HttpUtil.setTransferEncodingChunked(head, true);
        } else {
            HttpUtil.setContentLength(head, length);
        }
        announceClose(head, last);
        send(head, NO_ACTION);
    }

    /** Writes the next bytes of a streamed response. */
    void writeContent(ByteBuf bytes) {
        send(new DefaultHttpContent(bytes), NO_ACTION);
    }

    /** Writes the end of a streamed response. */
    void writeEnd(Runnable written) {
        send(LastHttpContent.EMPTY_LAST_CONTENT, written);
    }

    private static String seconds(long micros) {
        return BigDecimal.valueOf(micros, MICROS_SCALE).toPlainString();
    }

    private static void announceClose(HttpResponse response, boolean last) {
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void send(Object message, Runnable written) {
        responding = true;
        if (pendingWrites++ == 0) {
            listener.writePending();
        }
        int bytes = message instanceof ByteBufHolder body ? body.content().readableBytes() : 0;
        pendingBytes.started(bytes);
        channel.writeAndFlush(message)
                .addListener(
                        future -> {
                            pendingBytes.ended(bytes);
                            writeCompleted(future.isSuccess(), written);
                        });
    }

    private void writeCompleted(boolean success, Runnable written) {
        pendingWrites--;
        if (!success) {
            listener.writeFailed();
            return;
        }
        listener.writesDrained();
        if (pendingWrites > 0) {
            listener.writePending(); // the client makes progress, so its time limit restarts
        }
        written.run();
        writabilityChanged();
    }

    /** Whether more can be written now; if not, {@code resume} runs once writing is possible. */
    boolean isWritable(Runnable resume) {
        whenWritable = pendingBytes.isWritable() ? null : resume;
        return whenWritable == null;
    }

    /** Resumes a writer that waits, if more can be written now. */
    void writabilityChanged() {
        if (whenWritable != null && pendingBytes.isWritable()) {
            Runnable resume = whenWritable;
            whenWritable = null;
            resume.run();
        }
    }
}
