package loadbalancer.http1.downstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import loadbalancer.logging.QuietPeriodLogFilter;

/**
 * Handles failures of accept, most of all a lack of file descriptors: logs one plain line, and
 * leaves clients in the kernel's queue for a moment. Netty's default logs a stack trace a second,
 * and accepts again after that second even where {@link ClientServer} has since stopped it.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    private static final System.Logger LOG = System.getLogger(AcceptFailureHandler.class.getName());

    /** Pause before accepting again, unless a connection ends sooner and frees a descriptor. */
    private static final long RETRY_MILLIS = 100;

    private final QuietPeriodLogFilter failureLog = new QuietPeriodLogFilter();
    private final LongSupplier nanoTime;
    private final Runnable resume;

    AcceptFailureHandler(LongSupplier nanoTime, Runnable resume) {
        this.nanoTime = nanoTime;
        this.resume = resume;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (failureLog.shouldLog(nanoTime.getAsLong())) {
            LOG.log(System.Logger.Level.WARNING, "can't accept for now: " + cause);
        }
        ctx.channel().config().setAutoRead(false);
        ctx.executor().schedule(resume, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
