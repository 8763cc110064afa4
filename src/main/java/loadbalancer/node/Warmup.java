package loadbalancer.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import loadbalancer.Idempotency;
import loadbalancer.RequestClass;
import loadbalancer.http1.downstream.ClientServer;
import loadbalancer.http1.upstream.Http1UpstreamTransport;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;

/**
 * Serves requests to itself before the balancer is ready, in memory and through all its parts. Code
 * that has not run yet is interpreted: on part of a core the first seconds of real traffic came too
 * fast for it.
 */
final class Warmup {
    private static final int UPSTREAMS = 12;
    private static final String BODY = "x".repeat(600);
    private static final String ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;

    private final Config config;

    /** Its loop stands for the node's; what is left in its timers goes with it. */
    private final EmbeddedChannel stage = new EmbeddedChannel();

    private final Http1UpstreamTransport upstreams;
    private final ClientServer server;
    private final List<EmbeddedChannel> actors = new ArrayList<>();
    private int requests;

    private Warmup(Config own) {
        this.config = own.alone();
        var limits = config.facts().settings().limits();
        Transport transport = new SocketTransport(stage.eventLoop());
        this.upstreams =
                new Http1UpstreamTransport(
                        transport,
                        limits.connectTimeoutMicros(),
                        Long.MAX_VALUE / 1_000,
                        UPSTREAMS);
        RequestDispatcher driver =
                NodeComponents.dispatcher(
                        transport,
                        config,
                        upstreams,
                        new ProcessMetrics(),
                        LoadBalancerFactory.BALANCE);
        this.server = new ClientServer(transport, driver, config.facts(), UPSTREAMS);
        List<EndpointListUpdate.Entry> entries = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            InetSocketAddress addr = new InetSocketAddress(config.listen().getAddress(), i + 1);
            entries.add(
                    new EndpointListUpdate.Entry(
                            "rehearsal-" + i, addr, "", "", 0, EndpointState.READY, 1, 0));
        }
        driver.updateEndpoints(
                EndpointListUpdateType.FULL, new EndpointListUpdate(0, true, entries));
        for (EndpointListUpdate.Entry e : entries) {
            EmbeddedChannel actor =
                    new EmbeddedChannel() {
                        @Override
                        protected SocketAddress remoteAddress0() {
                            return e.address();
                        }
                    };
            upstreams.adopt(e.id(), actor);
            actors.add(actor);
        }
    }

    /**
     * Goes on until {@code enough} requests were served, or for {@code most} ms; returns how many
     * were.
     */
    static int run(Config config, int enough, long most) {
        Warmup rehearsal = new Warmup(config);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(most);
        int served = 0;
        EmbeddedChannel client = null;
        while (served < enough && System.nanoTime() < end) {
            if (client == null || !client.isActive() || served % 10 == 0) {
                client = new EmbeddedChannel();
                rehearsal.server.prepare(client);
                client.pipeline().fireChannelActive();
            }
            client.writeInbound(rehearsal.request());
            rehearsal.actors.forEach(Warmup::answer);
            served += drain(client) ? 1 : 0;
            rehearsal.stage.runPendingTasks();
        }
        return served;
    }

    private ByteBuf request() {
        var facts = config.facts();
        int n = requests++;
        int cls = n % facts.classNames().size();
        RequestClass requestClass = facts.settings().requestClasses().get(cls);
        boolean safe = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        String tenant =
                facts.tenantNames().isEmpty()
                        ? ""
                        : "X-Account: " + facts.tenantNames().get(0) + "\r\n";
        return Unpooled.copiedBuffer(
                (safe ? "GET" : "POST")
                        + " /"
                        + facts.classNames().get(cls)
                        + "?key="
                        + n % 100
                        + " HTTP/1.1\r\nHost: rehearsal\r\nX-Correlation-Id: "
                        + n
                        + "\r\nX-Service-Class: "
                        + facts.classNames().get(cls)
                        + "\r\n"
                        + tenant
                        + "X-Time-Left-Ms: 1000\r\nX-Weight-Hint: 1000\r\n"
                        + (requestClass.idempotency() == Idempotency.KEYED
                                ? "Idempotency-Key: " + n + "\r\n"
                                : "")
                        + (safe ? "\r\n" : "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY),
                StandardCharsets.US_ASCII);
    }

    /** Responds to a request, if there is one and its attempt has not given up the connection. */
    static void answer(EmbeddedChannel actor) {
        if (drain(actor) && actor.isOpen()) {
            actor.writeInbound(Unpooled.copiedBuffer(ANSWER, StandardCharsets.US_ASCII));
        }
    }

    /** Whether something was written to the channel; drops it. */
    private static boolean drain(EmbeddedChannel channel) {
        boolean any = false;
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            any = true;
            out.release();
        }
        return any;
    }
}
