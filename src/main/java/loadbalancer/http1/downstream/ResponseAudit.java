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
 * Checks one client connection from its messages alone, beside {@link ClientConnection}, which it
 * shares no state with: each request that was read whole gets one final answer before we close.
 */
final class ResponseAudit extends ChannelDuplexHandler {
    private static final Set<HttpResponseStatus> REJECTIONS =
            Set.of(HttpResponseStatus.BAD_REQUEST, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);

    private final Violations violations;
    private final LongSupplier nanoTime;
    private int begun;
    private int whole;
    private int answered;
    private boolean isInterim;

    /** The head of an answer is written, and its end is not: cut short, its client can tell. */
    private boolean isAnswering;

    private boolean isBroken;

    /**
     * Its client did not keep to the protocol: what it sent before may be part of something else.
     */
    private boolean isRejected;

    ResponseAudit(Violations violations, LongSupplier nanoTime) {
        this.violations = violations;
        this.nanoTime = nanoTime;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpRequest request && request.decoderResult().isSuccess()) {
            begun++;
        }
        if (message instanceof LastHttpContent last && last.decoderResult().isSuccess()) {
            whole++;
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof HttpResponse head) {
            isRejected |= REJECTIONS.contains(head.status());
            isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            isAnswering = !isInterim;
        }
        if (message instanceof LastHttpContent && !isInterim) {
            answered++;
            isAnswering = false;
            checkAnswers();
        }
        ChannelPromise told = promise.unvoid();
        told.addListener(f -> isBroken |= !f.isSuccess());
        ctx.write(message, told);
    }

    /** One answer may come without a request that could be read: to say why the connection ends. */
    private void checkAnswers() {
        if (answered > begun + 1) {
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

    /**
     * We end the connection, or our side of it; {@code isUp} unless the client has ended it before.
     */
    void closing(boolean isUp) {
        if (isUp && !isBroken && !isRejected && whole > answered + (isAnswering ? 1 : 0)) {
            violations.report(Violation.CLOSED_UNANSWERED, nanoTime.getAsLong(), state());
            isBroken = true; // told once
        }
    }

    private String state() {
        return "a connection with "
                + begun
                + " requests begun, "
                + whole
                + " read whole and "
                + answered
                + " answered";
    }
}
