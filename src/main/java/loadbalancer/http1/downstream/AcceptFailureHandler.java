package loadbalancer.http1.downstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import loadbalancer.logging.LogOnce;

/**
 * Handles what fails in accepting, most of all that the process has no descriptor left: one plain
 * line, and clients wait in the queue for a moment. Netty's own way is a stack trace a second, and
 * accepting again after that second even where {@link ClientServer} has since stopped it.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    private static final System.Logger LOG = System.getLogger(AcceptFailureHandler.class.getName());

    /**
     * A connection that ends frees a descriptor and lets accepting go on at once; else it is tried
     * then.
     */
    private static final long AGAIN_MS = 100;

    private final LogOnce line = new LogOnce();
    private final LongSupplier nanoTime;
    private final Runnable goOn;

    AcceptFailureHandler(LongSupplier nanoTime, Runnable goOn) {
        this.nanoTime = nanoTime;
        this.goOn = goOn;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (line.due(nanoTime.getAsLong())) {
            LOG.log(System.Logger.Level.WARNING, "can't accept for now: " + cause);
        }
        ctx.channel().config().setAutoRead(false);
        ctx.executor().schedule(goOn, AGAIN_MS, TimeUnit.MILLISECONDS);
    }
}
