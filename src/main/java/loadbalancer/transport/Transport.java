package loadbalancer.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import java.net.SocketAddress;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * One event loop with its time, its channels and its chance. Nothing beside these comes from
 * outside.
 */
public interface Transport {
    /** So much may pile up in a connection before whoever fills it has to wait. */
    WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024, 48 * 1024);

    /** All that uses this lives on this loop; its timers go by {@link #nanoTime}. */
    EventLoop loop();

    /** A clock that only advances, in nanoseconds from no particular moment. */
    long nanoTime();

    /** Unix time in milliseconds; it may step. */
    long wallMillis();

    /** For what must not happen in step with others. */
    RandomGenerator random();

    /**
     * A channel for a connection to be made, not registered yet; fails where there is no socket for
     * it.
     */
    Channel outgoing();

    /**
     * Opens a connection, on the loop; {@code prepare} adds its handlers. Fails at once where the
     * system has no socket for it. Netty's bootstrap would tell of that on another thread and never
     * close the channel.
     */
    default ChannelFuture connect(SocketAddress to, int timeoutMillis, Consumer<Channel> prepare)
            throws ChannelException {
        Channel channel = outgoing();
        channel.config().setConnectTimeoutMillis(timeoutMillis);
        prepare.accept(channel);
        loop().register(channel);
        ChannelPromise connected = channel.newPromise();
        connected.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        loop().execute(() -> channel.connect(to, connected)); // never fails from within this call
        return connected;
    }

    /**
     * Reads at once what lies ready at a connection, and its end if that is next; for when the loop
     * may not have come to it for long. Never from within a read of the same connection.
     */
    void look(Channel channel);

    /** A channel for an address to be listened at, not registered yet. */
    ListeningAddress listening();

    /** The same for an address that no other process may listen at meanwhile. */
    ListeningAddress listeningAlone();
}
