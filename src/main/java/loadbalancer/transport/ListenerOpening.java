package loadbalancer.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.BindException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import loadbalancer.logging.FailureLogFilter;

/**
 * Opens a listening channel, with retries while the system lacks descriptors, buffers or memory for
 * a socket. An address that can't be bound fails at once. Thread-safe; the attempts run on the
 * event loop. The caller owns the opened channel and must close it.
 */
public final class ListenerOpening {
    /** Less than the 30 s after which a start is considered failed. */
    private static final long RETRY_TIMEOUT_MILLIS = 20_000;

    private static final long RETRY_DELAY_MILLIS = 50;
    private static final System.Logger LOG = System.getLogger(ListenerOpening.class.getName());

    private final Transport transport;
    private final Supplier<ChannelFuture> bind;
    private final BooleanSupplier isCancelled;
    private final Promise<Channel> opened;
    private final long startedAtNanos;
    private final FailureLogFilter failureLog = new FailureLogFilter();

    private ListenerOpening(
            Transport transport, Supplier<ChannelFuture> bind, BooleanSupplier isCancelled) {
        this.transport = transport;
        this.bind = bind;
        this.isCancelled = isCancelled;
        this.opened = transport.loop().newPromise();
        this.startedAtNanos = transport.nanoTime();
    }

    /**
     * Tries to bind until an attempt succeeds or fails permanently, or until {@code isCancelled}
     * returns true, which cancels the future. Thread-safe; listeners of the future run on the event
     * loop.
     *
     * @param bind starts one attempt
     * @param isCancelled evaluated on the event loop before each attempt
     */
    public static Future<Channel> open(
            Transport transport, Supplier<ChannelFuture> bind, BooleanSupplier isCancelled) {
        ListenerOpening opening = new ListenerOpening(transport, bind, isCancelled);
        transport.loop().execute(opening::attempt);
        return opening.opened;
    }

    /**
     * Makes one attempt. Listeners of the returned future run on the event loop, whereas Netty's
     * own future may report a missing socket on another thread.
     *
     * @param bind starts the attempt
     */
    public static Future<Channel> once(EventLoop loop, Supplier<ChannelFuture> bind) {
        Promise<Channel> opened = loop.newPromise();
        ChannelFuture binding = bind.get();
        binding.addListener(
                attempt -> {
                    if (attempt.isSuccess()) {
                        opened.setSuccess(binding.channel());
                    } else {
                        opened.setFailure(attempt.cause());
                    }
                });
        return opened;
    }

    private void attempt() {
        if (isCancelled.getAsBoolean()) {
            opened.cancel(false);
            return;
        }
        Future<Channel> binding = once(transport.loop(), bind);
        binding.addListener(
                attempt -> {
                    if (attempt.isSuccess()) {
                        opened.trySuccess(binding.getNow());
                    } else if (isPermanent(attempt.cause())) {
                        opened.tryFailure(attempt.cause());
                    } else {
                        logFailure(attempt.cause());
                        transport
                                .loop()
                                .schedule(this::attempt, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    private boolean isPermanent(Throwable failure) {
        return failure instanceof BindException
                || transport.nanoTime() - startedAtNanos
                        > TimeUnit.MILLISECONDS.toNanos(RETRY_TIMEOUT_MILLIS);
    }

    private void logFailure(Throwable failure) {
        if (failureLog.shouldLogFailure()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "can't open a listening socket, retrying: " + failure);
        }
    }
}
