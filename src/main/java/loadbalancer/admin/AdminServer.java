package loadbalancer.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.transport.ListenerOpening;
import loadbalancer.transport.Transport;

/**
 * The operators' door: one line a connection, and an answer at once. Its loop is best one of its
 * own, so that a busy balancer still answers, and it takes a few calls at a time, so that callers
 * can't use up descriptors.
 */
public final class AdminServer implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(AdminServer.class.getName());

    /** Calls at a time; with one more, the oldest of them has to go. */
    public static final int MOST_CALLS = 16;

    private static final int LONGEST_LINE = 64;

    /** Callers that say nothing may stay for 4 s. */
    private static final long CALL_MS = 4_500;

    private final ProcessMetrics figures;
    private final Supplier<String> whyNotReady;

    /** The oldest first. */
    private final Set<Call> calls = new LinkedHashSet<>();

    private final Channel listening;

    /**
     * Opens at an address; {@code whyNotReady} gives an empty text once the balancer is ready to
     * serve.
     */
    public AdminServer(
            Transport transport,
            SocketAddress address,
            ProcessMetrics figures,
            Supplier<String> whyNotReady)
            throws IOException {
        this.figures = figures;
        this.whyNotReady = whyNotReady;
        listening =
                ListenerOpening.open(transport, () -> bind(transport, address), () -> false)
                        .syncUninterruptibly()
                        .getNow();
    }

    private ChannelFuture bind(Transport transport, SocketAddress address) {
        return new ServerBootstrap()
                .group(transport.loop())
                .channelFactory(transport::listeningAlone)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline().addLast(new Call(channel));
                            }
                        })
                .bind(address);
    }

    /** Where callers find it. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    @Override
    public void close() {
        listening.close();
        listening.eventLoop().execute(() -> List.copyOf(calls).forEach(Call::end));
    }

    /** The whole answer to a line. */
    private String answer(String line) {
        return switch (line) {
            case "READY" -> {
                String why = whyNotReady.get();
                yield why.isEmpty() ? "SUCCESS ready\n" : "FAILURE " + why + "\n";
            }
            case "STATS" -> "SUCCESS\n" + figures.render() + "EOT\n";
            default -> "FAILURE unknown call\n";
        };
    }

    /** One caller's connection. */
    private final class Call extends SimpleChannelInboundHandler<ByteBuf> {
        private final Channel channel;
        private final StringBuilder line = new StringBuilder();
        private boolean answered;

        Call(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            calls.add(this);
            if (calls.size() > MOST_CALLS) {
                calls.iterator().next().end();
            }
            ctx.executor().schedule(this::end, CALL_MS, TimeUnit.MILLISECONDS);
        }

        private void end() {
            calls.remove(this);
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            calls.remove(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            while (!answered && bytes.isReadable()) {
                byte b = bytes.readByte();
                if (b == '\n') {
                    answer(AdminServer.this.answer(line.toString().stripTrailing()));
                } else if (b != '\r' && (b < ' ' || b > '~')) {
                    answer("FAILURE not a line of text\n");
                } else if (line.length() == LONGEST_LINE) {
                    answer("FAILURE line too long\n");
                } else {
                    line.append((char) b);
                }
            }
        }

        /**
         * Closes for writing only: on a full close, bytes not read yet reset the connection, which
         * could take the answer with them. The caller, or this call's time, ends it.
         */
        private void answer(String text) {
            answered = true;
            byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
            channel.writeAndFlush(Unpooled.wrappedBuffer(bytes))
                    .addListener(f -> ((DuplexChannel) channel).shutdownOutput());
        }

        /** The caller will say no more: what there is of a line is the line. */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                if (!answered && !line.isEmpty()) {
                    answer(AdminServer.this.answer(line.toString().stripTrailing()));
                }
                ctx.executor().execute(this::end);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "closed an operator's call after a failure",
                        cause);
            }
            end();
        }
    }
}
