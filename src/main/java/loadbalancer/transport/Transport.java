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
 * One event loop with its clocks, channels and random numbers: all that its users take from the
 * outside. Channels are made, used and closed by the caller on the event loop.
 */
public interface Transport {
    /** Bytes unsent on a connection above which its writer pauses, and below which it goes on. */
    WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024, 48 * 1024);

    /** The event loop of all users; its timers follow {@link #nanoTime}. */
    EventLoop loop();

    /** The monotonic clock, in nanoseconds from an arbitrary origin. */
    long nanoTime();

    /** Wall-clock time in milliseconds since 1970; it may jump. */
    long wallMillis();

    /** Random numbers, for jitter between processes. */
    RandomGenerator random();

    /**
     * A new channel for an outbound connection, not registered yet.
     *
     * @throws ChannelException if the system has no socket for it
     */
    Channel outgoing();

    /**
     * Opens a connection; for the event loop only. Netty's bootstrap would report a missing socket
     * on another thread and never close the channel.
     *
     * @param prepare adds the channel's handlers
     * @throws ChannelException if the system has no socket for it
     */
    default ChannelFuture connect(
            SocketAddress address, int timeoutMillis, Consumer<Channel> prepare)
            throws ChannelException {
        Channel channel = outgoing();
        channel.config().setConnectTimeoutMillis(timeoutMillis);
        prepare.accept(channel);
        loop().register(channel);
        ChannelPromise connected = channel.newPromise();
        connected.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        loop().execute(
                        () ->
                                channel.connect(
                                        address, connected)); // never fails from within this call
        return connected;
    }

    /**
     * Reads at once what a connection has ready, including its end, where the event loop may not
     * have polled it for long. Never call it from within a read of the same connection.
     */
    void readNow(Channel channel);

    /** A new listening channel, not registered yet; other processes may share its address. */
    ListeningAddress listening();

    /** A new listening channel, not registered yet, whose address no other process may share. */
    ListeningAddress listeningAlone();
}
