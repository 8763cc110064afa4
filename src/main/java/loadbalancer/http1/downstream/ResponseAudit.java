package loadbalancer.http1.downstream;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Set;
import java.util.function.LongSupplier;
import loadbalancer.proxy.Violation;
import loadbalancer.proxy.Violations;

/**
 * Verifies that each complete request on a client connection gets exactly one final response before
 * this side closes the connection. Observes only the messages on the channel and shares no state
 * with {@link ClientConnection}, so that it detects faults there. Used on the event loop only.
 */
final class ResponseAudit extends ChannelDuplexHandler {
    private static final Set<HttpResponseStatus> REJECTIONS =
            Set.of(HttpResponseStatus.BAD_REQUEST, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);

    private final Violations violations;
    private final LongSupplier nanoTime;
    private int requestsBegun;
    private int requestsCompleted;
    private int responses;
    private boolean isInterim;

    /**
     * Whether a response has been written in part. If it is truncated, the client can detect that
     * from its framing, so the request does not count as unanswered.
     */
    private boolean isResponding;

    /** Whether the connection failed, or its violation has already been reported. */
    private boolean isBroken;

    /** Whether the client violated the protocol, so that its messages do not count as requests. */
    private boolean isRejected;

    ResponseAudit(Violations violations, LongSupplier nanoTime) {
        this.violations = violations;
        this.nanoTime = nanoTime;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpRequest request && request.decoderResult().isSuccess()) {
            requestsBegun++;
        }
        if (message instanceof LastHttpContent last && last.decoderResult().isSuccess()) {
            requestsCompleted++;
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof HttpResponse head) {
            isRejected |= REJECTIONS.contains(head.status());
            isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            isResponding = !isInterim;
        }
        if (message instanceof LastHttpContent && !isInterim) {
            responses++;
            isResponding = false;
            checkResponses();
        }
        ChannelPromise written = promise.unvoid();
        written.addListener(future -> isBroken |= !future.isSuccess());
        ctx.write(message, written);
    }

    /** Allows one response without a request: the error response that ends the connection. */
    private void checkResponses() {
        if (responses > requestsBegun + 1) {
            violations.report(Violation.ANSWERED_TWICE, nanoTime.getAsLong(), counts());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        isBroken = true;
        ctx.fireExceptionCaught(cause);
    }

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        closing(ctx.channel().isActive());
        ctx.close(promise);
    }

    /**
     * Checks a connection that this side is about to end.
     *
     * @param isConnected whether the client has not closed the connection before
     */
    void closing(boolean isConnected) {
        if (isConnected
                && !isBroken
                && !isRejected
                && requestsCompleted > responses + (isResponding ? 1 : 0)) {
            violations.report(Violation.CLOSED_UNANSWERED, nanoTime.getAsLong(), counts());
            isBroken = true; // reports each connection only once
        }
    }

    private String counts() {
        return "client connection: "
                + requestsBegun
                + " requests started, "
                + requestsCompleted
                + " requests complete, "
                + responses
                + " responses written";
    }
}
