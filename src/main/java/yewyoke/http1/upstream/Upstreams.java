package yewyoke.http1.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import yewyoke.Balancer.Outcome;
import yewyoke.Balancer.State;
import yewyoke.exchange.Back;
import yewyoke.exchange.Body;
import yewyoke.exchange.Download;
import yewyoke.exchange.Field;
import yewyoke.exchange.Head;
import yewyoke.exchange.ServerList;
import yewyoke.transport.Input;
import yewyoke.transport.Transport;

/**
 * The connections to upstreams, and the attempts on them. A connection carries one request at a time and is
 * kept for the next one; nothing is ever sent again from here.
 */
public final class Upstreams implements Back {
    private static final System.Logger LOG = System.getLogger(Upstreams.class.getName());
    /** An answer of which nothing more comes for so long, though there is room for it, is broken off. */
    private static final long STALLED_MS = 10_000;
    /** So long a connection rests behind a large answer: a second copy of that comes a round trip later. */
    private static final long REST_MS = 5;
    private static final String NOT_RUN = "X-Unprocessed";
    private static final String LOAD = "X-Backend-Load";
    private static final int OK = 200;
    private static final int SWITCHING = HttpResponseStatus.SWITCHING_PROTOCOLS.code();
    /** Part of the upstream's idle time after which we drop a connection: never write to a dying one. */
    private static final double IDLE_PART = 0.6;
    private static final long SWEEP_MS = 250;

    private final EventLoop loop;
    private final Transport transport;
    private int connectTimeoutMs;
    private long idleNanos;
    private int maxConnections;
    private final Map<String, Server> servers = new HashMap<>();
    private int connections;

    /** Times are microseconds; at most so many connections at a time. */
    public Upstreams(Transport transport, long connectTimeoutMicros, long connectIdleMicros,
            int maxConnections) {
        this.transport = transport;
        this.loop = transport.loop();
        this.maxConnections = maxConnections;
        times(connectTimeoutMicros, connectIdleMicros);
        loop.scheduleWithFixedDelay(this::dropIdle, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    private static void prepare(Channel channel) {
        channel.config().setWriteBufferWaterMark(Transport.WATER_MARK);
        channel.pipeline().addLast(new HttpRequestEncoder(), new AnswerDecoder());
    }

    /** Takes over a channel that leads to an upstream as an idle connection to it. */
    public void adopt(String id, Channel channel) {
        prepare(channel);
        Server server = servers.get(id);
        new Connection(server, server.incarnation, channel).keep();
    }

    /** One upstream: where it is, and its idle connections, the last used first. */
    private static final class Server {
        InetSocketAddress addr;
        boolean ready;
        long startedMs;
        /** Counts the processes that have been there, one after the other, as far as lists have told. */
        int incarnation;
        final Deque<Connection> idle = new ArrayDeque<>();
    }

    @Override public void apply(ServerList list) {
        if (list.full()) {
            List<String> ids = list.entries().stream().map(ServerList.Entry::id).toList();
            List<String> missing = new ArrayList<>(servers.keySet());
            missing.removeAll(ids);
            missing.forEach(this::forget);
        }
        for (ServerList.Entry e : list.entries()) {
            if (e.state() == State.GONE) {
                forget(e.id());
                continue;
            }
            Server server = servers.computeIfAbsent(e.id(), id -> new Server());
            // Connections to a process that is no more end as a reset, after which a request may have run.
            boolean replaced = !e.addr().equals(server.addr) || e.startedMs() != server.startedMs;
            server.addr = e.addr();
            server.startedMs = e.startedMs();
            server.ready = e.state() == State.READY;
            server.incarnation += replaced ? 1 : 0;
            if (replaced || !server.ready) {
                closeIdle(server);
            }
        }
    }

    @Override public void times(long connectTimeoutMicros, long connectIdleMicros) {
        connectTimeoutMs = (int) Math.max(1, connectTimeoutMicros / 1_000);
        idleNanos = (long) (connectIdleMicros * 1_000 * IDLE_PART);
    }

    /** Idle ones beyond that are closed. */
    @Override public void limit(int most) {
        maxConnections = most;
        for (int excess = connections - most; excess > 0 && closeOldestIdle(); excess--) {
            continue;
        }
    }

    @Override public int listed() {
        return servers.size();
    }

    private void forget(String id) {
        Server server = servers.remove(id);
        if (server != null) {
            server.ready = false;
            closeIdle(server);
        }
    }

    @Override public void closeIdle(String id) {
        if (servers.containsKey(id)) {
            closeIdle(servers.get(id));
        }
    }

    private static void closeIdle(Server server) {
        while (!server.idle.isEmpty()) {
            server.idle.poll().channel.close();
        }
    }

    private void dropIdle() {
        long now = transport.nanoTime();
        for (Server server : servers.values()) {
            while (!server.idle.isEmpty() && now - server.idle.peekLast().idleSince > idleNanos) {
                server.idle.pollLast().channel.close();
            }
        }
    }

    @Override public Attempt start(String id, Head head, Body body, Listener listener) {
        Exchange exchange = new Exchange(message(head, body), body, listener);
        Server server = servers.get(id);
        if (server == null || !server.ready) {
            loop.execute(() -> exchange.end(Outcome.CONNECT_FAILED, null));
            return exchange;
        }
        Connection connection = idle(server);
        if (connection != null) {
            begin(exchange, connection);
        } else if (connections >= maxConnections && !closeOldestIdle()) {
            loop.execute(() -> exchange.end(Outcome.CONNECT_FAILED, null));
        } else {
            connect(server, exchange);
        }
        return exchange;
    }

    private static HttpRequest message(Head head, Body body) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (head.authority() != null) {
            headers.set(HttpHeaderNames.HOST, head.authority());
        }
        for (Field f : head.fields()) {
            headers.set(f.name(), f.value());
        }
        if (head.bodied() && body.length() < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (head.bodied()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length());
        }
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(head.method()), head.target(),
                headers);
    }

    private Connection idle(Server server) {
        long now = transport.nanoTime();
        for (Connection c = server.idle.poll(); c != null; c = server.idle.poll()) {
            // What lies unread in the kernel would be taken for the answer, or the request meets a dead end.
            if (c.channel.isActive() && now - c.idleSince < idleNanos && Input.isSilent(c.channel)) {
                return c;
            }
            c.channel.close();
        }
        return null;
    }

    private boolean closeOldestIdle() {
        Server oldest = null;
        for (Server server : servers.values()) {
            if (!server.idle.isEmpty() && (oldest == null
                    || server.idle.peekLast().idleSince < oldest.idle.peekLast().idleSince)) {
                oldest = server;
            }
        }
        if (oldest != null) {
            oldest.idle.pollLast().channel.close();
        }
        return oldest != null;
    }

    private void connect(Server server, Exchange exchange) {
        ChannelFuture connecting;
        try {
            connecting = transport.connect(server.addr, connectTimeoutMs, Upstreams::prepare);
        } catch (ChannelException e) {
            loop.execute(() -> exchange.end(Outcome.CONNECT_FAILED, null)); // out of descriptors
            return;
        }
        connections++;
        int incarnation = server.incarnation;
        exchange.channel = connecting.channel();
        connecting.channel().closeFuture().addListener(f -> connections--);
        connecting.addListener(f -> {
            // The list may have changed meanwhile: nothing new goes to an upstream that drains or has moved.
            if (!f.isSuccess() || exchange.ended || !server.ready || server.incarnation != incarnation) {
                connecting.channel().close();
                exchange.end(Outcome.CONNECT_FAILED, null);
                return;
            }
            begin(exchange, new Connection(server, incarnation, connecting.channel()));
        });
    }

    /** On a connection that is up: the request goes out, or the connection stays for another. */
    private void begin(Exchange exchange, Connection connection) {
        if (exchange.listener.mayBegin() && !exchange.ended) {
            exchange.write(connection);
        } else {
            connection.keepOrClose();
            // Never from within start().
            loop.execute(() -> exchange.end(Outcome.CONNECT_FAILED, null));
        }
    }

    /** One request on its way to an upstream, up to its one end. */
    private final class Exchange implements Attempt, Body.Sink {
        private final HttpRequest head;
        private final Body body;
        private final Listener listener;
        private Channel channel;
        /** The write of the request's last byte; null before. Its listeners may hear of it a turn late. */
        private ChannelPromise last;
        private boolean ended;

        private Exchange(HttpRequest head, Body body, Listener listener) {
            this.head = head;
            this.body = body;
            this.listener = listener;
        }

        private void write(Connection connection) {
            channel = connection.channel;
            connection.current = this;
            connection.decoder.expect();
            if (body.isEnded() && body.isWhole()) {
                last(new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(),
                        body.content(), head.headers(), EmptyHttpHeaders.INSTANCE));
            } else {
                channel.write(head).addListener(f -> {
                    if (!f.isSuccess()) {
                        broken();
                    }
                });
                body.to(this);
                channel.flush();
            }
        }

        private void last(Object message) {
            last = channel.newPromise();
            channel.writeAndFlush(message, last).addListener(f -> {
                if (f.isSuccess()) {
                    listener.written();
                } else {
                    broken();
                }
            });
        }

        @Override public void piece(ByteBuf bytes) {
            channel.writeAndFlush(new DefaultHttpContent(bytes));
        }

        @Override public void end() {
            last(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        @Override public boolean isWritable() {
            return channel.isWritable();
        }

        private boolean isWritten() {
            return last != null && last.isSuccess();
        }

        /** What the loss of the connection means: before its last byte an upstream can't begin a request. */
        private Outcome lost() {
            return isWritten() ? Outcome.RESET : Outcome.CONNECT_FAILED;
        }

        /** The connection is lost. */
        private void broken() {
            Outcome outcome = lost();
            channel.close();
            // Never from within start(): a write can fail at once.
            loop.execute(() -> end(outcome, null));
        }

        /** The socket is closed before this returns. */
        @Override public void abandon() {
            ended = true;
            body.leave(this);
            if (channel != null) {
                channel.close();
            }
        }

        private void end(Outcome outcome, Answer answer) {
            if (!ended) {
                ended = true;
                body.leave(this);
                listener.ended(outcome, answer);
            }
        }
    }

    /** A connection that is up. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Server server;
        private final int incarnation;
        private final Channel channel;
        private final AnswerDecoder decoder;
        private Exchange current;
        /** The head of the final answer to the current request, and so much of the body as is held. */
        private HttpResponse head;
        private boolean interim;
        private ByteBuf held = Unpooled.EMPTY_BUFFER;
        private long came;
        private Download download;
        private long cameAt;
        /** The answer is whole; it is handed on when the read that brought it has ended. */
        private boolean whole;
        private long idleSince = transport.nanoTime();

        Connection(Server server, int incarnation, Channel channel) {
            this.server = server;
            this.incarnation = incarnation;
            this.channel = channel;
            this.decoder = channel.pipeline().get(AnswerDecoder.class);
            channel.pipeline().addLast(this);
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (current == null || whole) {
                return; // Surplus: the decoder has noticed, and the end of this read closes the connection.
            }
            boolean bad = part.decoderResult().isFailure();
            if (bad || part instanceof HttpResponse response && !begin(response)) {
                spoilt();
            } else if (part instanceof HttpContent content) {
                if (!interim) {
                    body(content);
                }
                interim &= !(part instanceof LastHttpContent);
            }
        }

        /** Whether the head of an answer can be trusted. Interim answers are passed over. */
        private boolean begin(HttpResponse response) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            head = interim ? null : response;
            if (!interim && response.status().code() == OK && !current.isWritten()) {
                return false; // A request begins with its last byte: this was made for another.
            }
            if (!interim) {
                decoder.begun();
                current.listener.began();
            }
            try {
                return response.protocolVersion().majorVersion() == 1
                        && response.status().code() != SWITCHING
                        && HttpUtil.getContentLength(response, -1L) <= Body.MOST;
            } catch (NumberFormatException e) {
                return false;
            }
        }

        private void body(HttpContent content) {
            came += content.content().readableBytes();
            cameAt = transport.nanoTime();
            boolean last = content instanceof LastHttpContent;
            if (came > Body.MOST || last && !channel.isActive() && !endsWithItsConnection()) {
                // More than anything can be, or cut short.
                spoilt();
                return;
            }
            if (download == null && head.status().code() == OK && (came > Body.SMALL
                    || HttpUtil.getContentLength(head, -1L) > Body.SMALL)) {
                open();
            }
            if (download != null) {
                download.piece(content.content().retain());
                if (!last && !download.isWritable(this::resume)) {
                    channel.config().setAutoRead(false);
                }
            } else if (current != null && came <= Body.SMALL) {
                hold(content.content());
            }
            if (last && current != null) {
                decoder.whole();
                whole = true;
            }
        }

        /**
         * With neither a length nor chunks an answer ends with its connection, were that to be kept or not
         * (RFC 9112, 6.3), and only a FIN is such an end.
         */
        private boolean endsWithItsConnection() {
            return !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head)
                    && Input.hasEnded(channel);
        }

        private void hold(ByteBuf bytes) {
            if (bytes.isReadable()) {
                held = held == Unpooled.EMPTY_BUFFER ? Unpooled.buffer(bytes.readableBytes()) : held;
                held.writeBytes(bytes);
            }
        }

        private void open() {
            download = current.listener.opened(HttpUtil.getContentLength(head, -1L));
            if (download == null) {
                end(Outcome.CANCELLED);
                return;
            }
            if (held.isReadable()) {
                download.piece(held);
                held = Unpooled.EMPTY_BUFFER;
            }
            loop.schedule(this::checkProgress, STALLED_MS, TimeUnit.MILLISECONDS);
        }

        private void checkProgress() {
            if (download != null && current != null) {
                long left = STALLED_MS - TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - cameAt);
                if (left <= 0 && channel.config().isAutoRead()) {
                    spoilt();
                } else {
                    loop.schedule(this::checkProgress, Math.max(left, SWEEP_MS), TimeUnit.MILLISECONDS);
                }
            }
        }

        private void resume() {
            cameAt = transport.nanoTime();
            channel.config().setAutoRead(true);
        }

        private void spoilt() {
            end(current.lost());
        }

        /** The exchange ends without a whole answer, and with it the connection. */
        private void end(Outcome outcome) {
            Exchange exchange = current;
            Download passed = download;
            current = null;
            download = null;
            channel.close();
            if (passed != null && !exchange.ended) {
                passed.end(false);
            }
            exchange.end(outcome, null);
        }

        /** Only now is it known what has come right behind an answer. */
        @Override public void channelReadComplete(ChannelHandlerContext ctx) {
            if (whole && current != null) {
                finish();
            } else if (decoder.surplus()) {
                channel.close();
            }
        }

        private void finish() {
            Exchange exchange = current;
            HttpResponse answer = head;
            ByteBuf all = held;
            Download passed = download;
            current = null;
            head = null;
            held = Unpooled.EMPTY_BUFFER;
            came = 0;
            download = null;
            whole = false;
            idleSince = transport.nanoTime();
            if (exchange.isWritten() && !decoder.surplus() && HttpUtil.isKeepAlive(answer) && isOfUse()) {
                if (passed == null) {
                    keep();
                } else {
                    loop.schedule(this::keepOrClose, REST_MS, TimeUnit.MILLISECONDS);
                }
            } else {
                channel.close();
            }
            if (passed != null && !exchange.ended) {
                passed.end(true);
            }
            exchange.end(outcome(answer), new Answer(answer.headers().get(LOAD), all));
        }

        private boolean isOfUse() {
            return server.ready && channel.isActive() && server.incarnation == incarnation
                    && connections <= maxConnections;
        }

        private void keepOrClose() {
            if (isOfUse() && !decoder.surplus()) {
                keep();
            } else {
                channel.close();
            }
        }

        private void keep() {
            channel.config().setAutoRead(true);
            server.idle.push(this);
        }

        private static Outcome outcome(HttpResponse answer) {
            return switch (answer.status().code()) {
                case OK -> Outcome.OK;
                case 503, 504 -> "1".equals(answer.headers().get(NOT_RUN)) ? Outcome.FULL : Outcome.ERROR;
                default -> Outcome.ERROR;
            };
        }

        @Override public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (current != null) {
                current.body.drained();
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            server.idle.remove(this);
            if (whole && current != null) {
                finish();
            } else if (current != null && download != null) {
                spoilt();
            } else if (current != null) {
                current.broken();
                current = null;
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof CodecException)) {
                LOG.log(System.Logger.Level.ERROR, "closed an upstream's connection after a failure", cause);
            }
            channel.close();
        }
    }
}
