package loadbalancer.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests how often and in which order queued updates are sent, and how many at a time. */
class UpdateQueueTest {
    private final UpdateQueue queue = new UpdateQueue("self");

    private static Member member(String name, long incarnation) {
        return new Member(name, name + ":1", "", incarnation, 1, Health.ALIVE);
    }

    @Test
    void eachUpdateIsSentExactlyAsOftenAsTheTransmitLimit() {
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 35; i++) {
            queue.enqueue(member("m" + i, 1));
        }
        for (int packet = 0; !queue.isEmpty(); packet++) {
            assertTrue(packet < 1_000, "the queue never empties");
            queue.poll(10, 10_000, Set.of(), 100)
                    .forEach(m -> sent.merge(m.name(), 1, Integer::sum));
        }
        assertEquals(35, sent.size());
        sent.values().forEach(times -> assertEquals(UpdateQueue.transmitLimit(100), times));
    }

    @Test
    void pollRespectsItsLimitsAndReturnsNewUpdatesFirst() {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 200; i++) {
            queue.enqueue(member("x".repeat(1 + random.nextInt(60)) + i, i));
            int maxUpdates = random.nextInt(12);
            int maxBytes = random.nextInt(800);
            List<Member> taken = queue.poll(maxUpdates, maxBytes, Set.of(), 10_000);
            assertTrue(taken.size() <= maxUpdates);
            assertTrue(taken.stream().mapToInt(MemberFormat::encodedBytes).sum() <= maxBytes);
        }
        queue.enqueue(member("news", 1));
        assertEquals("news", queue.poll(1, 700, Set.of(), 100).get(0).name());
        queue.enqueue(member("more", 1));
        queue.enqueue(member("dead", 1).with(1, Health.DEAD));
        assertEquals("more", queue.poll(1, 700, Set.of(), 100).get(0).name(), "alive before dead");
        queue.enqueue(member("self", 1));
        queue.poll(1, 700, Set.of(), 100);
        assertEquals(
                "self",
                queue.poll(1, 700, Set.of(), 100).get(0).name(),
                "the local member comes first");
        assertFalse(queue.poll(10, 700, Set.of("more"), 100).contains(member("more", 1)));
    }

    @Test
    void newerUpdateReplacesTheOlderAndDuplicatesShortenItsDissemination() {
        queue.enqueue(member("a", 1));
        queue.enqueue(member("a", 2));
        assertEquals(List.of(member("a", 2)), queue.poll(10, 700, Set.of(), 100));
        queue.onDuplicate(member("a", 1), 100);
        int sent = 0;
        while (!queue.isEmpty()) {
            queue.onDuplicate(member("a", 2), 100);
            sent += queue.poll(1, 700, Set.of(), 100).size();
        }
        assertTrue(
                sent < UpdateQueue.transmitLimit(100) - 1
                        && sent > UpdateQueue.transmitLimit(100) / 2,
                "sent " + sent);
    }
}
