package loadbalancer.faults.process.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.faults.process.RigFailure;

/**
 * Stands at an address in place of another and passes connections on. Ends, half-closings and
 * resets pass, too. All of it lives on one loop; the calls may come from any thread, and return
 * when they have taken effect.
 */
public final class TcpRelay implements AutoCloseable {
    private static final int CONNECT_MS = 10_000;
    private static final int BACKLOG = 512;

    /** A millisecond apart; one or two are enough. */
    private static final int MOST_CALLS = 10_000;

    private final EventLoop loop;
    private final InetSocketAddress front;
    private final InetSocketAddress target;
    private final LinkDirection out;
    private final LinkDirection back;
    private final Set<Pair> pairs = new LinkedHashSet<>();
    private Channel listening;

    /** {@code out} leads to the target. */
    public TcpRelay(
            EventLoop loop,
            InetSocketAddress front,
            InetSocketAddress target,
            LinkDirection out,
            LinkDirection back) {
        this.loop = loop;
        this.front = front;
        this.target = target;
        this.out = out;
        this.back = back;
        open();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** The way to the target. */
    public LinkDirection out() {
        return out;
    }

    /** The way back. */
    public LinkDirection back() {
        return back;
    }

    /** Takes connections, as at the beginning. */
    public synchronized void open() {
        if (listening == null) {
            listening =
                    new ServerBootstrap()
                            .group(loop)
                            .channel(NioServerSocketChannel.class)
                            .option(ChannelOption.SO_REUSEADDR, true)
                            .option(ChannelOption.SO_BACKLOG, BACKLOG)
                            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                            .childOption(ChannelOption.TCP_NODELAY, true)
                            .childHandler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel channel) {
                                            accepted(channel);
                                        }
                                    })
                            .bind(front)
                            .syncUninterruptibly()
                            .channel();
        }
    }

    /** Refuses connections from now on; those that are there stay. */
    public synchronized void refuse() {
        if (listening != null) {
            InetSocketAddress at = address();
            listening.close().syncUninterruptibly();
            listening = null;
            awaitRefusal(at);
        }
    }

    /** A listener in a selector goes on accepting until that selects again, closed or not. */
    private static void awaitRefusal(InetSocketAddress at) {
        for (int i = 0; i < MOST_CALLS; i++) {
            try (Socket call = new Socket()) {
                call.connect(at, CONNECT_MS);
                Thread.sleep(1);
            } catch (IOException e) {
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        throw new RigFailure("a relay goes on listening at " + at);
    }

    /** Breaks all connections the hard way. */
    public void reset() {
        loop.submit(() -> List.copyOf(pairs).forEach(Pair::reset)).syncUninterruptibly();
    }

    /** Nothing passes any more, in one direction or both, and nobody is told. */
    public void cut(boolean outward, boolean backward) {
        if (outward) {
            out.conditions(LinkConditions.CUT);
        }
        if (backward) {
            back.conditions(LinkConditions.CUT);
        }
    }

    /** Ends a cut: what was connected until now is reset, as by a machine that comes back. */
    public void heal() {
        reset();
        clear();
    }

    /** As if nothing were in between; what waited goes on its way. */
    public void clear() {
        out.conditions(LinkConditions.CLEAR);
        back.conditions(LinkConditions.CLEAR);
        open();
    }

    @Override
    public void close() {
        refuse();
        reset();
    }

    private void accepted(Channel near) {
        near.config().setAutoRead(false);
        Pair pair = new Pair(near);
        pairs.add(pair);
        ChannelFuture connecting =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.AUTO_READ, false)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        pair.far(channel);
                                    }
                                })
                        .connect(target);
        connecting.addListener(
                f -> {
                    if (f.isSuccess() && pairs.contains(pair)) {
                        pair.begin();
                    } else {
                        pair.reset();
                    }
                });
    }

    /** A connection at the front with the one that was made for it. */
    private final class Pair {
        private final Channel near;
        private Channel far;
        private Flow outward;
        private Flow backward;

        Pair(Channel near) {
            this.near = near;
        }

        void far(Channel channel) {
            far = channel;
            outward = new Flow(out, near, far, this::flowed);
            backward = new Flow(back, far, near, this::flowed);
            near.pipeline().addLast(end(outward));
            far.pipeline().addLast(end(backward));
        }

        private void flowed() {
            if (outward.done() && backward.done() && pairs.remove(this)) {
                near.close();
                far.close();
            }
        }

        void begin() {
            near.config().setAutoRead(true);
            far.config().setAutoRead(true);
        }

        private ChannelHandler end(Flow flow) {
            return new SimpleChannelInboundHandler<ByteBuf>() {
                @Override
                protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
                    flow.add(bytes.retain());
                }

                @Override
                public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                    if (event instanceof ChannelInputShutdownEvent) {
                        flow.end();
                    }
                }

                @Override
                public void channelInactive(ChannelHandlerContext ctx) {
                    reset();
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                    reset();
                }
            };
        }

        void reset() {
            if (!pairs.remove(this)) {
                return;
            }
            abort(near);
            if (far != null) {
                outward.drop();
                backward.drop();
                abort(far);
            }
        }

        private void abort(Channel channel) {
            try {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            } catch (ChannelException e) {
                // gone already
            }
            channel.close();
        }
    }
}
