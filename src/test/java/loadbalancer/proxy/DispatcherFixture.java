package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import loadbalancer.AttemptOutcome;
import loadbalancer.CapacityWeightKind;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.LoadReportSource;
import loadbalancer.Prices;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;
import loadbalancer.RuleLimits;
import loadbalancer.settings.LoadedSettings;
import loadbalancer.transport.ListeningChannel;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.Transport;

/**
 * A {@link RequestDispatcher} with the real policy in virtual time, between stubs of clients and
 * endpoints that the test controls.
 */
final class DispatcherFixture implements Transport, UpstreamTransport {
    static final long MILLI = 1_000;
    static final long SECOND = 1_000_000;
    private static final long EPOCH_MILLIS = 1_700_000_000_000L;

    private final EmbeddedChannel clock = new EmbeddedChannel();
    private long nanos;
    private int nextId;
    final List<AttemptStub> attempts = new ArrayList<>();
    final List<ClientStub> clients = new ArrayList<>();
    final ProcessMetrics metrics = new ProcessMetrics();
    final RequestDispatcher dispatcher;

    /** Receives the decisions of the policy; tests make decisions of their own through it. */
    LoadBalancerActions actions;

    private final boolean isHedgingAllowed;
    private final boolean isCancellationAllowed;

    DispatcherFixture(boolean isHedgingAllowed, boolean isCancellationAllowed) {
        this.isHedgingAllowed = isHedgingAllowed;
        this.isCancellationAllowed = isCancellationAllowed;
        clock.freezeTime();
        dispatcher =
                new RequestDispatcher(
                        this,
                        new LoadedSettings(
                                settings(),
                                List.of(),
                                List.of("safe", "keyed", "unsafe"),
                                List.of(),
                                List.of("z"),
                                List.of("k")),
                        new PolicySetup(this::policy, 7, 1_000),
                        "b",
                        this,
                        metrics);
        dispatcher.start(
                new EndpointDiscovery() {
                    @Override
                    public void watch(boolean isWatching) {}

                    @Override
                    public void fetch() {}
                },
                EndpointListUpdate.EMPTY);
    }

    private LoadBalancer policy(
            LoadBalancerSettings settings, long seed, LoadBalancerActions policyActions) {
        actions = policyActions;
        return LoadBalancerFactory.BALANCE.create(settings, seed, policyActions);
    }

    private static List<RequestClass> requestClasses() {
        List<RequestClass> requestClasses = new ArrayList<>();
        for (Idempotency idempotency : Idempotency.values()) {
            requestClasses.add(
                    new RequestClass(
                            idempotency.name(),
                            SECOND / 2,
                            0,
                            2 * SECOND,
                            1,
                            0.5,
                            idempotency,
                            IdempotencyScope.ALL,
                            300 * MILLI,
                            false));
        }
        return requestClasses;
    }

    private LoadBalancerSettings settings() {
        return new LoadBalancerSettings(
                0,
                1,
                0,
                1,
                requestClasses(),
                List.of(),
                0.2,
                true,
                new LoadBalancerLimits(
                        3,
                        isHedgingAllowed,
                        false,
                        isCancellationAllowed,
                        false,
                        20_000,
                        false,
                        0,
                        SECOND,
                        10 * SECOND,
                        1),
                new RuleLimits(20 * MILLI, 10 * SECOND, 0.2, 20 * SECOND, SECOND, 3, 2 * SECOND),
                new Prices(0, 0.1, 0, 0, 0, 0),
                LoadReportSource.NONE,
                CapacityWeightKind.NONE,
                false,
                false,
                5 * MILLI);
    }

    /** An attempt at the transport, which is connecting until the test completes the connect. */
    static final class AttemptStub {
        final Listener listener;
        boolean abandoned;

        AttemptStub(Listener listener) {
            this.listener = listener;
        }

        /** Completes the connect, and returns whether the attempt began. */
        boolean connect() {
            boolean hasBegun = listener.mayBegin();
            if (hasBegun) {
                listener.requestWritten();
            } else {
                listener.ended(AttemptOutcome.CONNECT_FAILED, null);
            }
            return hasBegun;
        }
    }

    /** Records the response to a client. */
    static final class ClientStub implements ResponseSink {
        String id;
        String received = "";

        /** Whether the connection is open when it is checked. */
        boolean connected = true;

        @Override
        public void respondSuccess(ByteBuf body) {
            received += "success";
        }

        @Override
        public void startResponse(long length) {
            received += "streaming";
        }

        @Override
        public void respondRejected(long retryAfterMicros) {
            received += "rejected";
        }

        @Override
        public void respondFailed() {
            received += "failed";
        }

        @Override
        public void write(ByteBuf bytes) {
            bytes.release();
        }

        @Override
        public void end(boolean complete) {
            received += complete ? " complete" : " cut short";
        }

        @Override
        public boolean isClientConnected() {
            return connected;
        }

        @Override
        public boolean isWritable(Runnable resume) {
            return true;
        }
    }

    /**
     * Delivers a complete list of ready endpoints {@code u0}, {@code u1} and so on.
     *
     * @param startedAgoMs time since their start; 0 if that was long ago
     */
    DispatcherFixture listEndpoints(int count, long startedAgoMs) {
        List<EndpointListUpdate.Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(
                    new EndpointListUpdate.Entry(
                            "u" + i,
                            InetSocketAddress.createUnresolved("u", i),
                            "z",
                            "k",
                            0,
                            EndpointState.READY,
                            1,
                            startedAgoMs == 0 ? 0 : wallMillis() - startedAgoMs));
        }
        dispatcher.updateEndpoints(
                EndpointListUpdateType.FULL, new EndpointListUpdate(1, true, entries));
        return this;
    }

    /** Receives a complete request of a class: 0 idempotent, 1 keyed, 2 not idempotent. */
    ClientStub receiveRequest(int classIndex, long timeLeftMicros) {
        ClientStub client = new ClientStub();
        client.id = "r" + nextId++;
        clients.add(client);
        dispatcher.requestReceived(
                new RequestDescriptor(
                        client.id, classIndex, 0, null, 0, timeLeftMicros, classIndex > 0, false),
                new RequestHead("GET", "/", null, false, List.of()),
                RequestBody.empty(),
                client);
        return client;
    }

    /** Advances the time without running any timer, as during a pause of the event loop. */
    void advanceWithoutTimers(long micros) {
        nanos += micros * 1_000;
        clock.advanceTimeBy(micros, TimeUnit.MICROSECONDS);
    }

    /** Advances the time in steps of a millisecond, and runs the timers that are due. */
    void advance(long micros) {
        for (long left = micros; left > 0; left -= MILLI) {
            long step = Math.min(left, MILLI) * 1_000;
            nanos += step;
            clock.advanceTimeBy(step, TimeUnit.NANOSECONDS);
            clock.runPendingTasks();
        }
    }

    /** Returns the number of requests in flight at all endpoints, as the policy counts them. */
    int inFlightRequests() {
        return exportState().endpoints().stream().mapToInt(e -> e.inFlightRequests()).sum();
    }

    LoadBalancerSnapshot exportState() {
        return dispatcher.exportState(0, 100);
    }

    @Override
    public Attempt start(String endpointId, RequestHead head, RequestBody body, Listener listener) {
        AttemptStub attempt = new AttemptStub(listener);
        attempts.add(attempt);
        return () -> attempt.abandoned = true;
    }

    @Override
    public EventLoop loop() {
        return clock.eventLoop();
    }

    @Override
    public long nanoTime() {
        return nanos;
    }

    @Override
    public long wallMillis() {
        return EPOCH_MILLIS + nanos / 1_000_000;
    }

    @Override
    public RandomGenerator random() {
        throw new IllegalStateException("the fixture has no random numbers");
    }

    @Override
    public MemoryQuota memoryQuota() {
        return MemoryQuota.unlimited();
    }

    @Override
    public Channel newOutboundChannel() {
        throw new IllegalStateException("the fixture has no sockets");
    }

    @Override
    public ListeningChannel newListener() {
        throw new IllegalStateException("the fixture has no sockets");
    }

    @Override
    public ListeningChannel newExclusiveListener() {
        throw new IllegalStateException("the fixture has no sockets");
    }

    @Override
    public void readAvailable(Channel channel) {
        throw new IllegalStateException("the fixture has no sockets");
    }

    @Override
    public void updateEndpoints(EndpointListUpdate list) {}

    @Override
    public int endpointCount() {
        return 1;
    }

    @Override
    public void closeIdleConnections(String endpointId) {}

    @Override
    public void setTimeouts(long connectTimeoutMicros, long idleTimeoutMicros) {}

    @Override
    public void setMaxConnections(int connections) {}
}
