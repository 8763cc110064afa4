package loadbalancer.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * Wraps Netty's selector handler and rounds its waits up to whole milliseconds. A selector can wait
 * for whole milliseconds only, and Netty's loop spins without a wait if a timer is due within half
 * a millisecond. Used by its event loop; {@link #destroy} releases the selector.
 */
public final class MillisecondIoHandler implements IoHandler {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final IoHandler selector;

    private MillisecondIoHandler(IoHandler selector) {
        this.selector = selector;
    }

    /** Returns a factory for event loops on sockets, whose timers run up to a millisecond late. */
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

    /** Rounds a delay up to whole milliseconds; a delay of zero or less stays as it is. */
    static long roundUpToMillis(long delayNanos) {
        if (delayNanos <= 0 || delayNanos > Long.MAX_VALUE - NANOS_PER_MILLI) {
            return delayNanos;
        }
        return (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
    }

    @Override
    public int run(IoHandlerContext context) {
        return selector.run(new RoundedContext(context));
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

    /** Delegates to the event loop's context and rounds the delay. */
    private record RoundedContext(IoHandlerContext context) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long nowNanos) {
            return roundUpToMillis(context.delayNanos(nowNanos));
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
    }
}
