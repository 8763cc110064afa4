package loadbalancer.faults;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import loadbalancer.transport.ListeningChannel;

/**
 * The balancer's address in the virtual network, with its queue of those who wait to be accepted.
 */
final class VirtualListener extends AbstractServerChannel
        implements ListeningChannel, VirtualNetwork.Listener {
    private static final int BACKLOG = 128;

    private final VirtualTransport transport;
    private final ChannelConfig config = new DefaultChannelConfig(this);
    private final Deque<End> waiting = new ArrayDeque<>();
    private InetSocketAddress address;
    private boolean closed;
    private boolean readPending;

    VirtualListener(VirtualTransport transport) {
        this.transport = transport;
    }

    @Override
    public boolean hasRoom() {
        return waiting.size() < BACKLOG && !transport.isQueueFull();
    }

    @Override
    public void accept(End end) {
        waiting.add(end);
        if (isRegistered()) {
            eventLoop().execute(this::acceptAll);
        }
    }

    private void acceptAll() {
        if (!readPending || closed || waiting.isEmpty()) {
            return;
        }
        readPending = false;
        while (!waiting.isEmpty() && transport.hasDescriptor()) {
            pipeline().fireChannelRead(child());
        }
        pipeline().fireChannelReadComplete();
        if (!waiting.isEmpty()) {
            pipeline().fireExceptionCaught(new IOException("Too many open files"));
        }
    }

    private Channel child() {
        return new VirtualChannel(transport, this, waiting.poll());
    }

    @Override
    public void closeAfterBacklog(Consumer<Channel> accepted) {
        eventLoop()
                .execute(
                        () -> {
                            transport.network().unlisten(address, this);
                            while (!waiting.isEmpty() && transport.hasDescriptor()) {
                                accepted.accept(child());
                            }
                            close();
                        });
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof VirtualLoop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return address;
    }

    @Override
    protected void doBind(SocketAddress to) {
        address = (InetSocketAddress) to;
        transport.network().listen(transport.host(), address, this);
    }

    @Override
    protected void doClose() {
        closed = true;
        transport.network().unlisten(address, this);
        waiting.forEach(End::breakOff);
        waiting.clear();
    }

    @Override
    protected void doBeginRead() {
        readPending = true;
        if (!waiting.isEmpty()) {
            eventLoop().execute(this::acceptAll);
        }
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return !closed;
    }

    @Override
    public boolean isActive() {
        return !closed && address != null;
    }
}
