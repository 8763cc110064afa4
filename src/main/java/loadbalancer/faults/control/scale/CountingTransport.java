package loadbalancer.faults.control.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import loadbalancer.faults.process.peer.RealTime;
import loadbalancer.transport.ListeningChannel;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.Transport;

/** The transport of one subscriber, which counts the bytes that come. */
final class CountingTransport implements Transport {
    private final Transport shared;
    private final ByteMeter meter;

    CountingTransport(Transport shared, ByteMeter meter) {
        this.shared = shared;
        this.meter = meter;
    }

    @Override
    public ChannelFuture connect(SocketAddress to, int timeoutMillis, Consumer<Channel> prepare)
            throws ChannelException {
        return shared.connect(
                to,
                timeoutMillis,
                channel -> {
                    channel.pipeline().addLast(new CountingHandler());
                    prepare.accept(channel);
                });
    }

    @Override
    public EventLoop loop() {
        return shared.loop();
    }

    @Override
    public long nanoTime() {
        return shared.nanoTime();
    }

    @Override
    public long wallMillis() {
        return shared.wallMillis();
    }

    @Override
    public RandomGenerator random() {
        return shared.random();
    }

    @Override
    public MemoryQuota memoryQuota() {
        return shared.memoryQuota();
    }

    @Override
    public Channel newOutboundChannel() {
        return shared.newOutboundChannel();
    }

    @Override
    public void readAvailable(Channel channel) {
        shared.readAvailable(channel);
    }

    @Override
    public ListeningChannel newListener() {
        return shared.newListener();
    }

    @Override
    public ListeningChannel newExclusiveListener() {
        return shared.newExclusiveListener();
    }

    /** Counts and hands on. */
    private final class CountingHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes) {
                meter.add(RealTime.micros(), bytes.readableBytes());
            }
            context.fireChannelRead(message);
        }
    }
}
