package loadbalancer.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * Sockets by the selector, with waits rounded up to whole milliseconds. Netty's own loop asks a
 * selector that knows whole ones only, and for a timer due within half of one it asks again and
 * again without waiting: with a hundred timers a second that was 20,000 turns a second of a
 * balancer with six requests.
 */
public final class MillisecondIoHandler implements IoHandler {
    private static final long MILLI = 1_000_000;

    private final IoHandler selector;

    private MillisecondIoHandler(IoHandler selector) {
        this.selector = selector;
    }

    /** For a loop group on sockets; its timers run up to a millisecond late. */
    public static IoHandlerFactory factory() {
        IoHandlerFactory sockets = NioIoHandler.newFactory();
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new MillisecondIoHandler(sockets.newHandler(executor));
            }

            @Override
            public boolean isChangingThreadSupported() {
                return sockets.isChangingThreadSupported();
            }
        };
    }

    /** Nanoseconds until something is due, as whole milliseconds; what is due already stays due. */
    static long whole(long delay) {
        return delay <= 0 || delay > Long.MAX_VALUE - MILLI
                ? delay
                : (delay + MILLI - 1) / MILLI * MILLI;
    }

    @Override
    public int run(IoHandlerContext context) {
        return selector.run(
                new IoHandlerContext() {
                    @Override
                    public boolean canBlock() {
                        return context.canBlock();
                    }

                    @Override
                    public long delayNanos(long now) {
                        return whole(context.delayNanos(now));
                    }

                    @Override
                    public long deadlineNanos() {
                        return context.deadlineNanos();
                    }

                    @Override
                    public void reportActiveIoTime(long nanos) {
                        context.reportActiveIoTime(nanos);
                    }

                    @Override
                    public boolean shouldReportActiveIoTime() {
                        return context.shouldReportActiveIoTime();
                    }
                });
    }

    @Override
    public void initialize() {
        selector.initialize();
    }

    @Override
    public void prepareToDestroy() {
        selector.prepareToDestroy();
    }

    @Override
    public void destroy() {
        selector.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return selector.register(handle);
    }

    @Override
    public void wakeup() {
        selector.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handle) {
        return selector.isCompatible(handle);
    }
}
