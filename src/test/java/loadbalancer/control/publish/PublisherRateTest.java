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

/** Byte rates, admissions and heartbeats. */
class PublisherRateTest {
    private static final int TOTAL_RATE = 400_000;
    private static final int OWN_RATE = 50_000;
    private static final PublisherLimits LIMITS =
            new PublisherLimits(300, 1_000, TOTAL_RATE, OWN_RATE, 1_000, 2_000, 50);
    private static final int STEP_MILLIS = 5;
    private static final int STEPS_PER_SECOND = 1_000 / STEP_MILLIS;

    private final PublisherBench bench = new PublisherBench(LIMITS);

    private List<ModelSubscriber> admit(int count) {
        List<ModelSubscriber> subscribers =
                IntStream.range(0, count).mapToObj(i -> bench.subscriber("lb-" + i)).toList();
        subscribers.forEach(bench::admit);
        return subscribers;
    }

    private static int bytes(List<ModelSubscriber> subscribers) {
        return subscribers.stream().mapToInt(s -> s.sizes.stream().mapToInt(i -> i).sum()).sum();
    }

    private static int largestPart(List<ModelSubscriber> subscribers) {
        return subscribers.stream().flatMap(s -> s.sizes.stream()).mapToInt(i -> i).max().orElse(0);
    }

    private static int mostInASecond(List<Integer> sums) {
        return IntStream.range(STEPS_PER_SECOND, sums.size())
                .map(i -> sums.get(i) - sums.get(i - STEPS_PER_SECOND))
                .max()
                .orElse(0);
    }

    @Test
    void aStormOf200FinishesWithinTheByteLimitsAndTogether() {
        bench.putTenants("a", 100, 1);
        List<ModelSubscriber> storm = admit(200);
        List<Integer> sums = new ArrayList<>();
        List<Integer> ofOne = new ArrayList<>();
        int firstDone = 0;
        while (storm.stream().anyMatch(s -> s.applied.size() < 100)) {
            sums.add(bytes(storm));
            ofOne.add(bytes(storm.subList(0, 1)));
            firstDone += storm.stream().allMatch(s -> s.applied.size() == 0) ? 1 : 0;
            bench.run(STEP_MILLIS);
            assertTrue(sums.size() < 60 * STEPS_PER_SECOND, "not all have finished");
        }
        assertTrue(mostInASecond(sums) <= TOTAL_RATE + largestPart(storm));
        assertTrue(mostInASecond(ofOne) <= OWN_RATE + largestPart(storm));
        double ideal = (double) bytes(storm) / TOTAL_RATE * STEPS_PER_SECOND;
        assertTrue(sums.size() < 1.1 * ideal, sums.size() + " steps for " + ideal);
        assertTrue(firstDone > 0.8 * sums.size(), firstDone + " of " + sums.size());
    }

    @Test
    void oneSubscriberIsHeldToItsOwnRate() {
        bench.putTenants("a", 1_000, 1);
        List<ModelSubscriber> one = admit(1);
        bench.run(1_000);
        assertTrue(bytes(one) <= OWN_RATE + largestPart(one));
        assertTrue(bytes(one) > 0.9 * OWN_RATE);
    }

    @Test
    void smallUpdatesPassSnapshotsAndDoNotStopThem() {
        bench.putTenants("a", 1, 1);
        ModelSubscriber current = bench.subscriber("current", "a");
        bench.admit(current);
        bench.putTenants("b", 1_500, 1);
        List<ModelSubscriber> storm = admit(100);
        bench.run(20_000);
        assertTrue(storm.stream().allMatch(s -> s.applied.size() == 0));
        int before = bytes(storm);
        for (int i = 0; i < 100; i++) {
            bench.putTenants("a", 1, 2 + i);
            bench.run(10);
            assertEquals(bench.revision, current.applied.revision());
        }
        assertTrue(bytes(storm) - before > TOTAL_RATE / 2, "snapshots go on");
    }

    @Test
    void longUpdatesHaveTheirTurnWhileShortOnesWait() {
        SendQueue queue = new SendQueue();
        ResourceIndex index = new ResourceIndex(bench.state, 0);
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
        ModelSubscriber sink = bench.subscriber(name);
        UpdateCursor cursor = new UpdateCursor(index, sink.scope, sink.applied.revision());
        return new SubscriberSession(
                0, name, sink, cursor, RateLimiter.ofBytes(1), sink.applied.revision());
    }

    @Test
    void aFullConnectionIsPassedOverAndThenGetsOneMergedUpdate() {
        bench.putTenants("a", 3, 1);
        ModelSubscriber slow = admit(1).get(0);
        bench.run(100);
        slow.writableLines = 0;
        for (int i = 0; i < 20; i++) {
            bench.putTenants("a", 2, 2 + i);
            bench.run(100);
        }
        assertEquals(1, slow.received.size());
        slow.writableLines = Integer.MAX_VALUE;
        bench.run(1);
        assertEquals(2, slow.received.size());
        assertEquals(2, slow.last().put().size());
        assertEquals(bench.revision, slow.applied.revision());
    }

    @Test
    void everySubscriberHearsSomethingInEachIntervalAndWakeUpsAreFew() {
        bench.putTenants("a", 1, 1);
        List<ModelSubscriber> all = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            all.add(bench.subscriber("lb-" + i));
            bench.admit(all.get(i));
            bench.run(20);
        }
        long start = bench.now;
        long[] heardAt = new long[all.size()];
        Arrays.fill(heardAt, start);
        int runs = 0;
        while (bench.now - start < TimeUnit.SECONDS.toNanos(20)) {
            int[] before = all.stream().mapToInt(s -> s.heartbeats).toArray();
            long pause = bench.publisher.run(bench.now);
            for (int i = 0; i < all.size(); i++) {
                boolean isSilent = all.get(i).heartbeats == before[i];
                heardAt[i] = isSilent ? heardAt[i] : bench.now;
                assertTrue(bench.now - heardAt[i] <= TimeUnit.SECONDS.toNanos(2));
            }
            bench.now += pause;
            runs++;
        }
        assertTrue(runs <= 10 * 10, runs + " runs");
    }

    @Test
    void aHeartbeatWaitsForTheConnection() {
        ModelSubscriber slow = admit(1).get(0);
        bench.run(1);
        slow.writableLines = 0;
        bench.run(10_000);
        assertEquals(0, slow.heartbeats);
        slow.writableLines = 1;
        bench.run(1);
        assertEquals(1, slow.heartbeats);
    }

    @Test
    void aStormIsAdmittedAtTheStatedRateWithoutManyRetries() {
        PublisherLimits limits = new PublisherLimits(1_000, 50, 1 << 20, 1 << 20, 1_000, 2_000, 50);
        PublisherBench slow = new PublisherBench(limits);
        record Try(long at, int number) {}

        PriorityQueue<Try> tries = new PriorityQueue<>((a, b) -> Long.signum(a.at - b.at));
        IntStream.range(0, 860).forEach(i -> tries.add(new Try(slow.now, i)));
        long start = slow.now;
        int asked = 0;
        while (!tries.isEmpty()) {
            Try next = tries.remove();
            slow.now = next.at;
            asked++;
            if (slow.ask(slow.subscriber("lb-" + next.number))
                    instanceof Admission.Deferred deferred) {
                tries.add(new Try(next.at + deferred.retryAfterMillis() * 1_000_000, next.number));
            }
        }
        double seconds = (slow.now - start) / 1e9;
        assertTrue(seconds >= 860 / 50 - 1 && seconds < 18, seconds + " s");
        assertTrue(asked < 2 * 860, asked + " requests");
        assertEquals(860, slow.publisher.status().subscribers());
    }

    @Test
    void noMoreAreAdmittedThanThereArePlaces() {
        PublisherBench two =
                new PublisherBench(new PublisherLimits(2, 50, 1_000, 1_000, 100, 2_000, 5));
        ModelSubscriber first = two.subscriber("lb-1");
        two.admit(first);
        two.admit(two.subscriber("lb-2"));
        assertTrue(two.ask(two.subscriber("lb-3")) instanceof Admission.Deferred);
        two.admit(two.subscriber("lb-2"));
        two.disconnect(first);
        two.admit(two.subscriber("lb-3"));
    }
}
