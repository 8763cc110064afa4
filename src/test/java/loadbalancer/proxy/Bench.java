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
import loadbalancer.transport.ListeningAddress;
import loadbalancer.transport.Transport;

/**
 * A driver with the real module in virtual time, between stubs of both sides that do what the test
 * says.
 */
final class Bench implements Transport, UpstreamTransport {
    static final long MILLI = 1_000;
    static final long SECOND = 1_000_000;
    private static final long EPOCH_MS = 1_700_000_000_000L;

    private final EmbeddedChannel clock = new EmbeddedChannel();
    private long nanos;
    private int ids;
    final List<Sent> sent = new ArrayList<>();
    final List<Answered> clients = new ArrayList<>();
    final ProcessMetrics figures = new ProcessMetrics();
    final RequestDispatcher driver;

    /** Where the policy of the driver sends its decisions. */
    LoadBalancerActions actions;

    private final boolean secondCopies;
    private final boolean cancel;

    Bench(boolean secondCopies, boolean cancel) {
        this.secondCopies = secondCopies;
        this.cancel = cancel;
        clock.freezeTime();
        driver =
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
                        figures);
        driver.start(
                new EndpointDiscovery() {
                    @Override
                    public void watch(boolean on) {}

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

    private static List<RequestClass> classes() {
        List<RequestClass> classes = new ArrayList<>();
        for (Idempotency e : Idempotency.values()) {
            classes.add(
                    new RequestClass(
                            e.name(),
                            SECOND / 2,
                            0,
                            2 * SECOND,
                            1,
                            0.5,
                            e,
                            IdempotencyScope.ALL,
                            300 * MILLI,
                            false));
        }
        return classes;
    }

    private LoadBalancerSettings settings() {
        return new LoadBalancerSettings(
                0,
                1,
                0,
                1,
                classes(),
                List.of(),
                0.2,
                true,
                new LoadBalancerLimits(
                        3,
                        secondCopies,
                        false,
                        cancel,
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

    /** One attempt as the side towards upstreams has it: dialling until it is let go on. */
    static final class Sent {
        final Listener listener;
        boolean abandoned;

        Sent(Listener listener) {
            this.listener = listener;
        }

        /** The connection is up: what goes out is what may begin. */
        boolean comesUp() {
            boolean goes = listener.mayBegin();
            if (goes) {
                listener.requestWritten();
            } else {
                listener.ended(AttemptOutcome.CONNECT_FAILED, null);
            }
            return goes;
        }
    }

    /** What a client got. */
    static final class Answered implements ResponseSink {
        String id;
        String got = "";

        /** Whether it is there when looked for. */
        boolean here = true;

        @Override
        public void respondSuccess(ByteBuf body) {
            got += "served";
        }

        @Override
        public void startResponse(long length) {
            got += "serving";
        }

        @Override
        public void respondRejected(long retryAfter) {
            got += "refused";
        }

        @Override
        public void respondFailed() {
            got += "failed";
        }

        @Override
        public void write(ByteBuf bytes) {
            bytes.release();
        }

        @Override
        public void end(boolean whole) {
            got += whole ? " whole" : " cut";
        }

        @Override
        public boolean isClientConnected() {
            return here;
        }

        @Override
        public boolean isWritable(Runnable whenWritable) {
            return true;
        }
    }

    /** Lists that many upstreams, started so long ago in milliseconds, 0 for long ago. */
    Bench list(int upstreams, long startedAgoMs) {
        List<EndpointListUpdate.Entry> entries = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
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
        driver.updateEndpoints(
                EndpointListUpdateType.FULL, new EndpointListUpdate(1, true, entries));
        return this;
    }

    /** A request of that class (0 safe, 1 keyed, 2 unsafe) that has come whole. */
    Answered ask(int cls, long timeLeft) {
        Answered client = new Answered();
        client.id = "r" + ids++;
        clients.add(client);
        driver.requestReceived(
                new RequestDescriptor(client.id, cls, 0, null, 0, timeLeft, cls > 0, false),
                new RequestHead("GET", "/", null, false, List.of()),
                RequestBody.empty(),
                client);
        return client;
    }

    /** Time goes on, and the loop does not come to run anything. */
    void lag(long micros) {
        nanos += micros * 1_000;
        clock.advanceTimeBy(micros, TimeUnit.MICROSECONDS);
    }

    /** Lets time go on, in steps of a millisecond. */
    void pass(long micros) {
        for (long left = micros; left > 0; left -= MILLI) {
            long step = Math.min(left, MILLI) * 1_000;
            nanos += step;
            clock.advanceTimeBy(step, TimeUnit.NANOSECONDS);
            clock.runPendingTasks();
        }
    }

    /** What the module holds to be in flight over all upstreams. */
    int inFlight() {
        return memory().endpoints().stream().mapToInt(k -> k.inFlightRequests()).sum();
    }

    LoadBalancerSnapshot memory() {
        return driver.exportState(0, 100);
    }

    @Override
    public Attempt start(String upstream, RequestHead head, RequestBody body, Listener listener) {
        Sent attempt = new Sent(listener);
        sent.add(attempt);
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
        return EPOCH_MS + nanos / 1_000_000;
    }

    @Override
    public RandomGenerator random() {
        throw new IllegalStateException("nothing is drawn here");
    }

    @Override
    public Channel outgoing() {
        throw new IllegalStateException("there are no sockets here");
    }

    @Override
    public ListeningAddress listening() {
        throw new IllegalStateException("there are no sockets here");
    }

    @Override
    public ListeningAddress listeningAlone() {
        throw new IllegalStateException("there are no sockets here");
    }

    @Override
    public void readNow(Channel channel) {
        throw new IllegalStateException("there are no sockets here");
    }

    @Override
    public void updateEndpoints(EndpointListUpdate list) {}

    @Override
    public int endpointCount() {
        return 1;
    }

    @Override
    public void closeIdleConnections(String upstream) {}

    @Override
    public void setTimeouts(long connectTimeout, long connectIdle) {}

    @Override
    public void setMaxConnections(int connections) {}
}
