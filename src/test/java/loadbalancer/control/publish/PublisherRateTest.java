package loadbalancer.control.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards the limits of the publisher: byte rates, admission rate and heartbeat interval. */
class PublisherRateTest {
    private static final int TOTAL_RATE = 400_000;
    private static final int SUBSCRIBER_RATE = 50_000;
    private static final PublisherLimits LIMITS =
            new PublisherLimits(300, 1_000, TOTAL_RATE, SUBSCRIBER_RATE, 1_000, 2_000, 50);
    private static final int STEP_MILLIS = 5;
    private static final int STEPS_PER_SECOND = 1_000 / STEP_MILLIS;

    private final PublisherFixture fixture = new PublisherFixture(LIMITS);

    private List<ModelSubscriber> admit(int count) {
        List<ModelSubscriber> subscribers =
                IntStream.range(0, count).mapToObj(i -> fixture.subscriber("lb-" + i)).toList();
        subscribers.forEach(fixture::admit);
        return subscribers;
    }

    private static int bytes(List<ModelSubscriber> subscribers) {
        return subscribers.stream().mapToInt(s -> s.sizes.stream().mapToInt(i -> i).sum()).sum();
    }

    private static int largestPart(List<ModelSubscriber> subscribers) {
        return subscribers.stream().flatMap(s -> s.sizes.stream()).mapToInt(i -> i).max().orElse(0);
    }

    private static int maxInASecond(List<Integer> sums) {
        return IntStream.range(STEPS_PER_SECOND, sums.size())
                .map(i -> sums.get(i) - sums.get(i - STEPS_PER_SECOND))
                .max()
                .orElse(0);
    }

    @Test
    void servesStormOfSubscribersFairlyWithinTheByteLimits() {
        fixture.putTenants("a", 100, 1);
        List<ModelSubscriber> storm = admit(200);
        List<Integer> sums = new ArrayList<>();
        List<Integer> sumsOfFirst = new ArrayList<>();
        int stepsUntilFirstDone = 0;
        while (storm.stream().anyMatch(s -> s.applied.size() < 100)) {
            sums.add(bytes(storm));
            sumsOfFirst.add(bytes(storm.subList(0, 1)));
            stepsUntilFirstDone += storm.stream().allMatch(s -> s.applied.size() == 0) ? 1 : 0;
            fixture.run(STEP_MILLIS);
            assertTrue(sums.size() < 60 * STEPS_PER_SECOND, "not all have finished");
        }
        assertTrue(maxInASecond(sums) <= TOTAL_RATE + largestPart(storm));
        assertTrue(maxInASecond(sumsOfFirst) <= SUBSCRIBER_RATE + largestPart(storm));
        double ideal = (double) bytes(storm) / TOTAL_RATE * STEPS_PER_SECOND;
        assertTrue(sums.size() < 1.1 * ideal, sums.size() + " steps for " + ideal);
        assertTrue(
                stepsUntilFirstDone > 0.8 * sums.size(),
                stepsUntilFirstDone + " of " + sums.size());
    }

    @Test
    void limitsTheByteRateOfOneSubscriber() {
        fixture.putTenants("a", 1_000, 1);
        List<ModelSubscriber> one = admit(1);
        fixture.run(1_000);
        assertTrue(bytes(one) <= SUBSCRIBER_RATE + largestPart(one));
        assertTrue(bytes(one) > 0.9 * SUBSCRIBER_RATE);
    }

    @Test
    void sendsSmallUpdatesBeforeSnapshotsWithoutStarvingThem() {
        fixture.putTenants("a", 1, 1);
        ModelSubscriber current = fixture.subscriber("current", "a");
        fixture.admit(current);
        fixture.putTenants("b", 1_500, 1);
        List<ModelSubscriber> storm = admit(100);
        fixture.run(20_000);
        assertTrue(storm.stream().allMatch(s -> s.applied.size() == 0));
        int before = bytes(storm);
        for (int i = 0; i < 100; i++) {
            fixture.putTenants("a", 1, 2 + i);
            fixture.run(10);
            assertEquals(fixture.revision, current.applied.revision());
        }
        assertTrue(bytes(storm) - before > TOTAL_RATE / 2, "snapshots make progress");
    }

    @Test
    void servesLongUpdateAfterThreeShortOnes() {
        SendQueue queue = new SendQueue();
        ResourceIndex index = new ResourceIndex(fixture.state, 0);
        SubscriberSession longOne = session(index, "long");
        UpdateLine large =
                new UpdateLine(new byte[SendQueue.SHORT_UPDATE_BYTES], Position.START, null);
        longOne.cursor().advance(index, large);
        queue.add(longOne);
        for (int i = 0; i < 10; i++) {
            queue.add(session(index, "short"));
        }
        List<String> turns =
                IntStream.range(0, SendQueue.SHORT_TURNS + 1)
                        .mapToObj(i -> queue.next().subscriber())
                        .toList();
        assertEquals(List.of("short", "short", "short", "long"), turns);
    }

    private SubscriberSession session(ResourceIndex index, String name) {
        ModelSubscriber sink = fixture.subscriber(name);
        UpdateCursor cursor = new UpdateCursor(index, sink.scope, sink.applied.revision());
        return new SubscriberSession(
                0, name, sink, cursor, RateLimiter.ofBytes(1), sink.applied.revision());
    }

    @Test
    void sendsOneMergedUpdateOnceConnectionIsWritable() {
        fixture.putTenants("a", 3, 1);
        ModelSubscriber slow = admit(1).get(0);
        fixture.run(100);
        slow.writableLines = 0;
        for (int i = 0; i < 20; i++) {
            fixture.putTenants("a", 2, 2 + i);
            fixture.run(100);
        }
        assertEquals(1, slow.received.size());
        slow.writableLines = Integer.MAX_VALUE;
        fixture.run(1);
        assertEquals(2, slow.received.size());
        assertEquals(2, slow.last().put().size());
        assertEquals(fixture.revision, slow.applied.revision());
    }

    @Test
    void sendsHeartbeatInEachIntervalWithFewWakeUps() {
        fixture.putTenants("a", 1, 1);
        List<ModelSubscriber> all = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            all.add(fixture.subscriber("lb-" + i));
            fixture.admit(all.get(i));
            fixture.run(20);
        }
        long start = fixture.now;
        long[] lastReceived = new long[all.size()];
        Arrays.fill(lastReceived, start);
        int runs = 0;
        while (fixture.now - start < TimeUnit.SECONDS.toNanos(20)) {
            int[] before = all.stream().mapToInt(s -> s.heartbeats).toArray();
            long pause = fixture.publisher.run(fixture.now);
            for (int i = 0; i < all.size(); i++) {
                boolean isSilent = all.get(i).heartbeats == before[i];
                lastReceived[i] = isSilent ? lastReceived[i] : fixture.now;
                assertTrue(fixture.now - lastReceived[i] <= TimeUnit.SECONDS.toNanos(2));
            }
            fixture.now += pause;
            runs++;
        }
        assertTrue(runs <= 10 * 10, runs + " runs");
    }

    @Test
    void delaysHeartbeatUntilConnectionIsWritable() {
        ModelSubscriber slow = admit(1).get(0);
        fixture.run(1);
        slow.writableLines = 0;
        fixture.run(10_000);
        assertEquals(0, slow.heartbeats);
        slow.writableLines = 1;
        fixture.run(1);
        assertEquals(1, slow.heartbeats);
    }

    @Test
    void admitsStormAtTheAdmissionRateWithFewRetries() {
        PublisherLimits limits = new PublisherLimits(1_000, 50, 1 << 20, 1 << 20, 1_000, 2_000, 50);
        PublisherFixture slow = new PublisherFixture(limits);
        record Attempt(long at, int number) {}

        PriorityQueue<Attempt> pendingAttempts =
                new PriorityQueue<>((a, b) -> Long.signum(a.at - b.at));
        IntStream.range(0, 860).forEach(i -> pendingAttempts.add(new Attempt(slow.now, i)));
        long start = slow.now;
        int attempts = 0;
        while (!pendingAttempts.isEmpty()) {
            Attempt next = pendingAttempts.remove();
            slow.now = next.at;
            attempts++;
            if (slow.subscribe(slow.subscriber("lb-" + next.number))
                    instanceof Admission.Deferred deferred) {
                pendingAttempts.add(
                        new Attempt(
                                next.at + deferred.retryAfterMillis() * 1_000_000, next.number));
            }
        }
        double seconds = (slow.now - start) / 1e9;
        assertTrue(seconds >= 860 / 50 - 1 && seconds < 18, seconds + " s");
        assertTrue(attempts < 2 * 860, attempts + " attempts");
        assertEquals(860, slow.publisher.status().subscribers());
    }

    @Test
    void defersSubscribersBeyondTheMaximum() {
        PublisherFixture two =
                new PublisherFixture(new PublisherLimits(2, 50, 1_000, 1_000, 100, 2_000, 5));
        ModelSubscriber first = two.subscriber("lb-1");
        two.admit(first);
        two.admit(two.subscriber("lb-2"));
        assertTrue(two.subscribe(two.subscriber("lb-3")) instanceof Admission.Deferred);
        two.admit(two.subscriber("lb-2"));
        two.disconnect(first);
        two.admit(two.subscriber("lb-3"));
    }
}
