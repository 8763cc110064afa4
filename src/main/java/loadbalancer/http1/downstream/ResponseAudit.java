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
 * Checks from the messages of one client connection alone that each complete request gets exactly
 * one final response before this side closes. Shares no state with {@link ClientConnection}, so
 * that a fault there shows here. Used on the event loop only.
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
     * The head of a response is written, and its end is not: if it is cut short, the client can
     * tell.
     */
    private boolean isResponding;

    private boolean isBroken;

    /** The client did not keep to the protocol: nothing that it sent counts as a request. */
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

    /** One response may go out without a request: the one that says why the connection ends. */
    private void checkResponses() {
        if (responses > requestsBegun + 1) {
            violations.report(Violation.ANSWERED_TWICE, nanoTime.getAsLong(), state());
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

    /** This side ends the connection, which the client has not ended before if {@code isUp}. */
    void closing(boolean isUp) {
        if (isUp
                && !isBroken
                && !isRejected
                && requestsCompleted > responses + (isResponding ? 1 : 0)) {
            violations.report(Violation.CLOSED_UNANSWERED, nanoTime.getAsLong(), state());
            isBroken = true; // reported once
        }
    }

    private String state() {
        return "a connection with "
                + requestsBegun
                + " requests begun, "
                + requestsCompleted
                + " read whole and "
                + responses
                + " answered";
    }
}
