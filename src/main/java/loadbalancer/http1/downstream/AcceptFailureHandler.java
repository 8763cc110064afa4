package loadbalancer.http1.downstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import loadbalancer.logging.QuietPeriodLogFilter;

/**
 * Handles accept failures, which are mostly caused by a lack of file descriptors: logs one line
 * without a stack trace and leaves clients in the kernel's accept queue until the retry. Netty's
 * default handling logs a stack trace every second and re-enables accepting after one second, even
 * if {@link ClientServer} has disabled it in the meantime.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    private static final System.Logger LOG = System.getLogger(AcceptFailureHandler.class.getName());

    /**
     * Delay before accepting resumes. A connection that closes earlier frees a descriptor and
     * resumes accepting sooner.
     */
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
            LOG.log(
                    System.Logger.Level.WARNING,
                    "could not accept a client connection; retrying shortly: " + cause);
        }
        ctx.channel().config().setAutoRead(false);
        ctx.executor().schedule(resume, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
