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

/** One UDP socket on one event loop (IPv4). All calls are made on that loop; none of them fails. */
public final class UdpLink {
    private static final System.Logger LOG = System.getLogger(UdpLink.class.getName());

    /** Addresses that were read once; more than the largest fleet that is measured has. */
    private static final int MOST_ADDRESSES = 2_048;

    /** Bytes that may wait to be sent: a full socket loses datagrams, as any network does. */
    private static final int MOST_WAITING = 256 * 1024;

    /** Takes what comes in. */
    public interface Receiver {
        /** Bytes from {@code host:port}. */
        void received(byte[] bytes, String address);
    }

    private final DatagramChannel channel;
    private final Receiver receiver;
    private final Map<String, InetSocketAddress> addresses =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, InetSocketAddress> eldest) {
                    return size() > MOST_ADDRESSES;
                }
            };
    private long failures;
    private boolean told;

    /**
     * A link that isn't open yet.
     *
     * @param sockets makes the channel, not registered; {@link #socket} as a rule
     * @param longest bytes of a datagram that are read; of a longer one as many are handed on
     */
    public UdpLink(Supplier<DatagramChannel> sockets, int longest, Receiver receiver) {
        this.receiver = receiver;
        this.channel = sockets.get();
        channel.config()
                .setOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(longest));
        channel.pipeline().addLast(new Inbound());
    }

    /** A real socket. */
    public static DatagramChannel socket() {
        return new NioDatagramChannel(SocketProtocolFamily.INET);
    }

    /** Binds it; the future fails if the address can't be had. */
    public ChannelFuture open(EventLoop loop, InetSocketAddress listen) {
        loop.register(channel);
        return channel.bind(listen);
    }

    /** Where it listens, once it is open. */
    public InetSocketAddress address() {
        return channel.localAddress();
    }

    /** Sends, or counts that it couldn't. */
    public void send(String address, byte[] bytes) {
        InetSocketAddress to = addresses.computeIfAbsent(address, UdpLink::parse);
        if (to == null
                || !channel.isActive()
                || channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MOST_WAITING) {
            failed(
                    to == null
                            ? address + " is no address of the form 10.0.0.1:9700"
                            : "not open or full");
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to))
                .addListener(
                        f -> {
                            if (!f.isSuccess()) {
                                failed(String.valueOf(f.cause()));
                            }
                        });
    }

    /** Datagrams that could not be sent. */
    public long failures() {
        return failures;
    }

    /** Closes it. */
    public ChannelFuture close() {
        return channel.close();
    }

    private void failed(String why) {
        failures++;
        if (!told) {
            told = true;
            LOG.log(
                    System.Logger.Level.WARNING,
                    "fleet: can't send, from here on only counted: " + why);
        }
    }

    /** Numbers only: a name would be looked up on the event loop. Null for anything else. */
    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        byte[] host =
                colon < 0
                        ? null
                        : NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon));
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            return host == null || host.length != 4 || port < 1 || port > 65_535
                    ? null
                    : new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }

    private final class Inbound extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            InetSocketAddress from = packet.sender();
            receiver.received(bytes, from.getAddress().getHostAddress() + ":" + from.getPort());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            failed(
                    String.valueOf(
                            cause)); // a port that nobody listens at is told by the system in here
        }
    }
}
