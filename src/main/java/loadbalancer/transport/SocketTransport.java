package loadbalancer.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import java.net.StandardSocketOptions;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/**
 * A transport with the system's sockets and clocks. Channels are used on its event loop, the clocks
 * from any thread. The code that creates a channel must close it.
 */
public final class SocketTransport implements Transport {
    private static final int ACCEPT_BACKLOG_CONNECTIONS = 1024;

    private final EventLoop loop;
    private final MemoryQuota memoryQuota;

    /**
     * Creates a transport whose channels run on the event loop, which the caller still owns. Its
     * connections together may use a fixed fraction of the heap.
     */
    public SocketTransport(EventLoop loop) {
        this(loop, MemoryQuota.ofHeap());
    }

    /** Creates a transport with this memory quota for its connections. */
    public SocketTransport(EventLoop loop, MemoryQuota memoryQuota) {
        this.loop = loop;
        this.memoryQuota = memoryQuota;
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public RandomGenerator random() {
        return ThreadLocalRandom.current();
    }

    @Override
    public MemoryQuota memoryQuota() {
        return memoryQuota;
    }

    @Override
    public Channel newOutboundChannel() {
        OutboundSocketChannel channel = new OutboundSocketChannel();
        channel.config().setTcpNoDelay(true);
        return channel;
    }

    @Override
    public void readAvailable(Channel channel) {
        if (channel.isRegistered()
                && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }

    @Override
    public ListeningChannel newListener() {
        ListeningChannel listener = newExclusiveListener();
        listener.config().setOption(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        return listener;
    }

    @Override
    public ListeningChannel newExclusiveListener() {
        SocketListener listener = new SocketListener();
        listener.config().setOption(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG_CONNECTIONS);
        listener.config().setOption(ChannelOption.SO_REUSEADDR, true);
        return listener;
    }
}
