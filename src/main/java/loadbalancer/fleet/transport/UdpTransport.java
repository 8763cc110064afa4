package loadbalancer.fleet.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketProtocolFamily;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * One IPv4 UDP socket on one event loop. All calls come from that loop, except for those before
 * {@link #open}. No method throws.
 */
public final class UdpTransport {
    private static final System.Logger LOG = System.getLogger(UdpTransport.class.getName());

    /** Maximum number of cached parsed addresses, above the maximum size of a fleet. */
    private static final int MAX_CACHED_ADDRESSES = 2_048;

    /** Maximum size of the send buffer; further datagrams are dropped, as a network may do. */
    private static final int MAX_PENDING_BYTES = 256 * 1024;

    private static final int IPV4_BYTES = 4;
    private static final int MAX_PORT = 65_535;

    /** Handles received datagrams on the event loop. */
    public interface DatagramReceiver {
        /** Handles a datagram from {@code host:port}. */
        void received(byte[] bytes, String address);
    }

    private final DatagramChannel channel;
    private final DatagramReceiver receiver;
    private final Map<String, InetSocketAddress> addresses =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, InetSocketAddress> eldest) {
                    return size() > MAX_CACHED_ADDRESSES;
                }
            };
    private long failureCount;
    private boolean isFailureLogged;

    /**
     * Creates a transport that isn't open yet.
     *
     * @param channelFactory creates the unregistered channel; usually {@link #createChannel}
     * @param maxReadBytes length to which received datagrams are truncated
     * @param receiver handles received datagrams
     */
    public UdpTransport(
            Supplier<DatagramChannel> channelFactory, int maxReadBytes, DatagramReceiver receiver) {
        this.receiver = receiver;
        this.channel = channelFactory.get();
        channel.config()
                .setOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(maxReadBytes));
        channel.pipeline().addLast(new InboundHandler());
    }

    /** Creates a channel on a real socket. */
    public static DatagramChannel createChannel() {
        return new NioDatagramChannel(SocketProtocolFamily.INET);
    }

    /** Binds the socket; the returned future fails if the address is not available. */
    public ChannelFuture open(EventLoop loop, InetSocketAddress listenAddress) {
        loop.register(channel);
        return channel.bind(listenAddress);
    }

    /** Returns the bound address; null before the socket is open. */
    public InetSocketAddress localAddress() {
        return channel.localAddress();
    }

    /** Sends a datagram to {@code host:port}; a failure is counted and not reported. */
    public void send(String address, byte[] bytes) {
        InetSocketAddress recipient = addresses.computeIfAbsent(address, UdpTransport::parse);
        if (recipient == null) {
            onFailure(address + " is not an IPv4 address with a port, such as 10.0.0.1:9700");
        } else if (!channel.isActive() || isSendBufferFull()) {
            onFailure("the socket is not open, or its send buffer of 256 KiB is full");
        } else {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), recipient))
                    .addListener(
                            future -> {
                                if (!future.isSuccess()) {
                                    onFailure(String.valueOf(future.cause()));
                                }
                            });
        }
    }

    private boolean isSendBufferFull() {
        return channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_PENDING_BYTES;
    }

    /** Returns the number of datagrams that could not be sent and of socket errors. */
    public long failureCount() {
        return failureCount;
    }

    /** Closes the socket; the returned future completes once it is closed. */
    public ChannelFuture close() {
        return channel.close();
    }

    private void onFailure(String reason) {
        failureCount++;
        if (!isFailureLogged) {
            isFailureLogged = true;
            LOG.log(
                    System.Logger.Level.WARNING,
                    "fleet: socket error, further errors are only counted: " + reason);
        }
    }

    /**
     * Parses a numeric address; returns null for any other, since resolving a host name would block
     * the event loop.
     */
    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            return null;
        }
        byte[] host = NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon));
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            boolean isValid =
                    host != null && host.length == IPV4_BYTES && port >= 1 && port <= MAX_PORT;
            return isValid ? new InetSocketAddress(InetAddress.getByAddress(host), port) : null;
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }

    private final class InboundHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            InetSocketAddress sender = packet.sender();
            receiver.received(bytes, sender.getAddress().getHostAddress() + ":" + sender.getPort());
        }

        /** Counts an error of the socket, such as an ICMP message about a closed port. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            onFailure(String.valueOf(cause));
        }
    }
}
