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
 * One event loop with its clocks, channels, memory quota and random numbers: the whole interface to
 * the system for the code that runs on the loop. The caller creates, uses and closes channels on
 * the event loop.
 */
public interface Transport {
    /** Bytes unsent on a connection above which its writer pauses, and below which it resumes. */
    WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024, 48 * 1024);

    /** Returns the event loop; its timers follow {@link #nanoTime}. */
    EventLoop loop();

    /** Returns the monotonic time, in nanoseconds from an arbitrary origin. */
    long nanoTime();

    /** Returns the wall-clock time, in milliseconds since 1970; it may jump. */
    long wallMillis();

    /** Returns the random numbers for jitter between processes. */
    RandomGenerator random();

    /** Returns the limit on the memory that all connections of the event loop hold together. */
    MemoryQuota memoryQuota();

    /**
     * Creates a channel for an outbound connection and does not register it.
     *
     * @throws ChannelException if the system has no socket for it
     */
    Channel newOutboundChannel();

    /**
     * Opens a connection; must be called on the event loop. It takes the place of Netty's
     * bootstrap, which would report a missing socket on another thread and never close the channel.
     *
     * @param prepare adds the channel's handlers
     * @throws ChannelException if the system has no socket for it
     */
    default ChannelFuture connect(
            SocketAddress address, int timeoutMillis, Consumer<Channel> prepare)
            throws ChannelException {
        Channel channel = newOutboundChannel();
        channel.config().setConnectTimeoutMillis(timeoutMillis);
        prepare.accept(channel);
        loop().register(channel);
        ChannelPromise connected = channel.newPromise();
        connected.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        loop().execute(() -> channel.connect(address, connected)); // never fails within this method
        return connected;
    }

    /**
     * Reads all input that a connection has ready, including its end, even if the event loop has
     * not polled the connection for a while. Must not be called from within a read of the same
     * connection.
     */
    void readAvailable(Channel channel);

    /** Creates a listening channel, unregistered, whose address other processes may share. */
    ListeningChannel newListener();

    /** Creates a listening channel, unregistered, whose address no other process may share. */
    ListeningChannel newExclusiveListener();
}
