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
import loadbalancer.http1.downstream.ClientServer;
import loadbalancer.http1.upstream.Http1UpstreamTransport;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;

/**
 * Sends requests in memory through all components of a balancer before it is ready, so that their
 * code is loaded and compiled when the first client's request arrives. Runs on the caller's thread,
 * for a limited time by the JVM's monotonic clock.
 */
final class Warmup {
    private static final int ENDPOINTS = 12;
    private static final String BODY = "x".repeat(600);
    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;

    private final Config config;

    /** Provides the event loop; timers that remain after the warm-up are discarded with it. */
    private final EmbeddedChannel loopChannel = new EmbeddedChannel();

    private final Http1UpstreamTransport upstreams;
    private final ClientServer server;
    private final List<EmbeddedChannel> endpointChannels = new ArrayList<>();
    private int requestsSent;

    private Warmup(Config nodeConfig) {
        this.config = nodeConfig.withoutPeers();
        var limits = config.facts().settings().limits();
        Transport transport = new SocketTransport(loopChannel.eventLoop());
        this.upstreams =
                new Http1UpstreamTransport(
                        transport,
                        limits.connectTimeoutMicros(),
                        Long.MAX_VALUE / 1_000,
                        ENDPOINTS);
        RequestDispatcher dispatcher =
                NodeComponents.dispatcher(
                        transport,
                        config,
                        upstreams,
                        new ProcessMetrics(),
                        LoadBalancerFactory.BALANCE);
        this.server = new ClientServer(transport, dispatcher, config.facts(), ENDPOINTS);
        List<EndpointListUpdate.Entry> entries = endpoints();
        dispatcher.updateEndpoints(
                EndpointListUpdateType.FULL, new EndpointListUpdate(0, true, entries));
        entries.forEach(this::connect);
    }

    private List<EndpointListUpdate.Entry> endpoints() {
        List<EndpointListUpdate.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            InetSocketAddress address = new InetSocketAddress(config.listen().getAddress(), i + 1);
            entries.add(
                    new EndpointListUpdate.Entry(
                            "rehearsal-" + i, address, "", "", 0, EndpointState.READY, 1, 0));
        }
        return entries;
    }

    private void connect(EndpointListUpdate.Entry entry) {
        EmbeddedChannel channel =
                new EmbeddedChannel() {
                    @Override
                    protected SocketAddress remoteAddress0() {
                        return entry.address();
                    }
                };
        upstreams.adopt(entry.id(), channel);
        endpointChannels.add(channel);
    }

    /**
     * Runs requests until {@code maxRequests} have had a response or {@code maxMillis} have passed.
     *
     * @return the number of requests that had a response
     */
    static int run(Config config, int maxRequests, long maxMillis) {
        Warmup warmup = new Warmup(config);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
        int served = 0;
        EmbeddedChannel client = null;
        while (served < maxRequests && System.nanoTime() < deadlineNanos) {
            if (client == null || !client.isActive() || served % 10 == 0) {
                client = new EmbeddedChannel();
                warmup.server.prepare(client);
                client.pipeline().fireChannelActive();
            }
            client.writeInbound(warmup.request());
            warmup.endpointChannels.forEach(Warmup::respond);
            served += drain(client) ? 1 : 0;
            warmup.loopChannel.runPendingTasks();
        }
        return served;
    }

    private ByteBuf request() {
        var loadedSettings = config.facts();
        int number = requestsSent++;
        int classIndex = number % loadedSettings.classNames().size();
        String className = loadedSettings.classNames().get(classIndex);
        Idempotency idempotency =
                loadedSettings.settings().requestClasses().get(classIndex).idempotency();
        boolean isIdempotent = idempotency == Idempotency.IDEMPOTENT;
        String text =
                (isIdempotent ? "GET" : "POST")
                        + " /"
                        + className
                        + "?key="
                        + number % 100
                        + " HTTP/1.1\r\nHost: rehearsal\r\nX-Correlation-Id: "
                        + number
                        + "\r\nX-Service-Class: "
                        + className
                        + "\r\n"
                        + tenantHeader()
                        + "X-Time-Left-Ms: 1000\r\nX-Weight-Hint: 1000\r\n"
                        + (idempotency == Idempotency.KEYED
                                ? "Idempotency-Key: " + number + "\r\n"
                                : "")
                        + (isIdempotent
                                ? "\r\n"
                                : "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY);
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private String tenantHeader() {
        List<String> tenantNames = config.facts().tenantNames();
        return tenantNames.isEmpty() ? "" : "X-Account: " + tenantNames.get(0) + "\r\n";
    }

    /** Responds to the request on a channel, if there is one and the connection is still open. */
    static void respond(EmbeddedChannel channel) {
        if (drain(channel) && channel.isOpen()) {
            channel.writeInbound(Unpooled.copiedBuffer(RESPONSE, StandardCharsets.US_ASCII));
        }
    }

    /** Releases all buffers written to a channel, and returns whether there were any. */
    private static boolean drain(EmbeddedChannel channel) {
        boolean hasWritten = false;
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            hasWritten = true;
            out.release();
        }
        return hasWritten;
    }
}
