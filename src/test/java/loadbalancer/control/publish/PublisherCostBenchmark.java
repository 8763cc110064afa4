package loadbalancer.control.publish;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.IntFunction;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.SubscribeRequest;

/** Measures and prints the publisher's cost of changes and snapshots; run manually, not in CI. */
final class PublisherCostBenchmark {
    private static final int SERVICES = 590;
    private static final int TENANTS = 122;
    private static final int SUBSCRIBERS = 860;
    private static final int CHANGES = 300;
    private static final PublisherLimits LIMITS =
            new PublisherLimits(1_000, 1_000, 1L << 40, 1L << 40, 16 << 10, 2_000, 100_000);

    private PublisherCostBenchmark() {}

    /** A sink that counts the bytes sent to it. */
    private static final class CountingSink implements SubscriberSink {
        private long bytes;

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void send(byte[] line) {
            bytes += line.length;
        }

        @Override
        public void heartbeat() {}

        @Override
        public void close(String reason) {}
    }

    /** Runs the benchmark; takes no arguments. */
    public static void main(String[] arguments) {
        for (int repetition = 0; repetition < 3; repetition++) {
            measure("all services", i -> Scope.ALL);
            measure("one service", i -> Scope.of("s" + i % SERVICES));
            measure("100 services", PublisherCostBenchmark::hundredServices);
        }
    }

    private static Scope hundredServices(int subscriber) {
        String[] services = new String[100];
        Arrays.setAll(services, i -> "s" + (subscriber + i) % SERVICES);
        return Scope.of(services);
    }

    private static void measure(String scopeName, IntFunction<Scope> scopes) {
        PublisherFixture fixture = new PublisherFixture(LIMITS);
        for (int service = 0; service < SERVICES; service++) {
            fixture.putTenants("s" + service, TENANTS, 1);
        }
        CountingSink sink = new CountingSink();
        long start = System.nanoTime();
        for (int i = 0; i < SUBSCRIBERS; i++) {
            SubscribeRequest request =
                    new SubscribeRequest(
                            "lb-" + i, "", scopes.apply(i), Revision.NONE, Digest.EMPTY);
            fixture.publisher.subscribe(fixture.now, request, sink);
        }
        fixture.publisher.run(fixture.now);
        System.out.printf(
                "%s: %d snapshots, %d bytes, %.1f ms%n",
                scopeName, SUBSCRIBERS, sink.bytes, (System.nanoTime() - start) / 1e6);
        measureChanges(scopeName, fixture, sink);
    }

    private static void measureChanges(
            String scopeName, PublisherFixture fixture, CountingSink sink) {
        sink.bytes = 0;
        Random random = new Random(1);
        long[] micros = new long[CHANGES];
        for (int change = 0; change < CHANGES; change++) {
            Resource tenant =
                    PublisherFixture.tenant(
                            "s" + random.nextInt(SERVICES), random.nextInt(TENANTS), change);
            long start = System.nanoTime();
            fixture.change(new ArrayList<>(List.of(tenant)), List.of());
            fixture.publisher.run(fixture.now);
            micros[change] = (System.nanoTime() - start) / 1_000;
        }
        Arrays.sort(micros);
        System.out.printf(
                "%s: change of one tenant to %d: median %d us, worst %d us, %d bytes a change%n",
                scopeName,
                SUBSCRIBERS,
                micros[CHANGES / 2],
                micros[CHANGES - 1],
                sink.bytes / CHANGES);
    }
}
