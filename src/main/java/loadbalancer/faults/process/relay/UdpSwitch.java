package loadbalancer.faults.process.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;

/**
 * Datagrams between members. Each has a front, an address that all others know it by; what comes to
 * a front is passed on to its member from the sender's front, over the direction of those two. The
 * sender is told by where it sends from, so that an address which members tell each other serves
 * all of them, and each ordered pair still has a direction of its own.
 */
public final class UdpSwitch implements AutoCloseable {
    private final EventLoop loop;
    private final List<InetSocketAddress> members;
    private final Map<InetSocketAddress, Integer> places = new HashMap<>();
    private final List<Channel> fronts = new ArrayList<>();
    private final List<List<LinkDirection>> directions = new ArrayList<>();
    private final AtomicLong strangers = new AtomicLong();
    private final AtomicLong passed = new AtomicLong();

    /**
     * Opens the fronts of those members.
     *
     * @param random gives the chance of the direction that leads from a member to another, by
     *     {@code from * members + to}
     */
    public UdpSwitch(
            EventLoop loop,
            List<InetSocketAddress> members,
            List<InetSocketAddress> at,
            IntFunction<LinkDirection> random) {
        this.loop = loop;
        this.members = List.copyOf(members);
        for (int i = 0; i < members.size(); i++) {
            places.put(members.get(i), i);
            List<LinkDirection> row = new ArrayList<>();
            for (int j = 0; j < members.size(); j++) {
                row.add(random.apply(i * members.size() + j));
            }
            directions.add(row);
        }
        for (int i = 0; i < at.size(); i++) {
            int to = i;
            fronts.add(
                    new Bootstrap()
                            .group(loop)
                            .channel(NioDatagramChannel.class)
                            .handler(
                                    new SimpleChannelInboundHandler<DatagramPacket>() {
                                        @Override
                                        protected void channelRead0(
                                                ChannelHandlerContext ctx, DatagramPacket p) {
                                            came(p, to);
                                        }

                                        @Override
                                        public void exceptionCaught(
                                                ChannelHandlerContext ctx, Throwable cause) {
                                            // the member is down: nobody is told, as on a network
                                        }
                                    })
                            .bind(at.get(i))
                            .syncUninterruptibly()
                            .channel());
        }
    }

    /** Where the others reach a member. */
    public InetSocketAddress front(int member) {
        return (InetSocketAddress) fronts.get(member).localAddress();
    }

    /** The way from one to the other. */
    public LinkDirection direction(int from, int to) {
        return directions.get(from).get(to);
    }

    /** Datagrams from addresses that are no member's; they go nowhere. */
    public long strangers() {
        return strangers.get();
    }

    /** Datagrams that were passed on to a member. */
    public long passed() {
        return passed.get();
    }

    /**
     * One half from the other: those at places below {@code half} from those above, in both
     * directions.
     */
    public void split(int half, LinkConditions between) {
        for (int i = 0; i < members.size(); i++) {
            for (int j = 0; j < members.size(); j++) {
                if (i < half != j < half) {
                    direction(i, j).conditions(between);
                }
            }
        }
    }

    /** Sets all that lead to a member or from it. */
    public void around(int member, LinkConditions conditions) {
        for (int i = 0; i < members.size(); i++) {
            direction(i, member).conditions(conditions);
            direction(member, i).conditions(conditions);
        }
    }

    /** Sets all. */
    public void everywhere(LinkConditions conditions) {
        directions.forEach(row -> row.forEach(direction -> direction.conditions(conditions)));
    }

    private void came(DatagramPacket packet, int to) {
        Integer from = places.get(packet.sender());
        if (from == null) {
            strangers.incrementAndGet();
            return;
        }
        for (LinkDirection.Copy copy :
                direction(from, to).datagram(ByteBufUtil.getBytes(packet.content()))) {
            if (copy.afterMs() == 0) {
                pass(copy.bytes(), from, to);
            } else {
                loop.schedule(
                        () -> pass(copy.bytes(), from, to), copy.afterMs(), TimeUnit.MILLISECONDS);
            }
        }
    }

    private void pass(byte[] bytes, int from, int to) {
        passed.incrementAndGet(); // before the member can have it
        ByteBuf content = Unpooled.wrappedBuffer(bytes);
        fronts.get(from).writeAndFlush(new DatagramPacket(content, members.get(to)));
    }

    @Override
    public void close() {
        fronts.forEach(front -> front.close().syncUninterruptibly());
    }
}
