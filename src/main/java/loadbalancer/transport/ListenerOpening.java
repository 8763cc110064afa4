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

/**
 * Begins to listen, also where the system has no socket for the moment: out of descriptors, buffers
 * or memory. An address that can't be had is another matter, and fails at once.
 */
public final class ListenerOpening {
    /** The longest that it is tried; a start that takes 30 s counts as failed. */
    private static final long PATIENCE_MS = 20_000;

    private static final long AGAIN_MS = 50;
    private static final System.Logger LOG = System.getLogger(ListenerOpening.class.getName());

    private final Transport transport;
    private final Supplier<ChannelFuture> bind;
    private final BooleanSupplier isUnwanted;
    private final Promise<Channel> opened;
    private final long begunAt;
    private boolean hasFailed;

    private ListenerOpening(
            Transport transport, Supplier<ChannelFuture> bind, BooleanSupplier isUnwanted) {
        this.transport = transport;
        this.bind = bind;
        this.isUnwanted = isUnwanted;
        this.opened = transport.loop().newPromise();
        this.begunAt = transport.nanoTime();
    }

    /**
     * Tries until it listens or {@code isUnwanted}, which cancels the future; any thread may ask.
     * The future tells on the loop.
     *
     * @param bind one try
     */
    public static Future<Channel> open(
            Transport transport, Supplier<ChannelFuture> bind, BooleanSupplier isUnwanted) {
        ListenerOpening opening = new ListenerOpening(transport, bind, isUnwanted);
        transport.loop().execute(opening::attempt);
        return opening.opened;
    }

    /**
     * One try, of which the future tells on the loop: Netty tells of a missing socket on another
     * thread.
     */
    public static Future<Channel> once(EventLoop loop, Supplier<ChannelFuture> bind) {
        Promise<Channel> opened = loop.newPromise();
        ChannelFuture binding = bind.get();
        binding.addListener(
                f -> {
                    if (f.isSuccess()) {
                        opened.setSuccess(binding.channel());
                    } else {
                        opened.setFailure(f.cause());
                    }
                });
        return opened;
    }

    private void attempt() {
        if (isUnwanted.getAsBoolean()) {
            opened.cancel(false);
            return;
        }
        Future<Channel> trying = once(transport.loop(), bind);
        trying.addListener(
                f -> {
                    if (f.isSuccess()) {
                        opened.trySuccess(trying.getNow());
                    } else if (isLasting(f.cause())) {
                        opened.tryFailure(f.cause());
                    } else {
                        logFirst(f.cause());
                        transport.loop().schedule(this::attempt, AGAIN_MS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    private boolean isLasting(Throwable failure) {
        return failure instanceof BindException
                || transport.nanoTime() - begunAt > TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
    }

    private void logFirst(Throwable failure) {
        if (!hasFailed) {
            LOG.log(System.Logger.Level.WARNING, "can't listen for now: " + failure);
        }
        hasFailed = true;
    }
}
