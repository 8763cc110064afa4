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

/** What is passed on: how often, in what order, how much at a time. */
class RumourQueueTest {
    private final GossipQueue queue = new GossipQueue("self");

    private static Member member(String name, long incarnation) {
        return new Member(name, name + ":1", "", incarnation, 1, Health.ALIVE);
    }

    @Test
    void eachIsSentABoundedNumberOfTimesAndNoFewer() {
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 35; i++) {
            queue.offer(member("m" + i, 1));
        }
        for (int packet = 0; !queue.isEmpty(); packet++) {
            assertTrue(packet < 1_000, "it never ends");
            queue.take(10, 10_000, Set.of(), 100)
                    .forEach(m -> sent.merge(m.name(), 1, Integer::sum));
        }
        assertEquals(35, sent.size());
        sent.values().forEach(times -> assertEquals(GossipQueue.sends(100), times));
    }

    @Test
    void boundsOfNumberAndBytesHoldAndNewsGoFirst() {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 200; i++) {
            queue.offer(member("x".repeat(1 + random.nextInt(60)) + i, i));
            int most = random.nextInt(12);
            int bytes = random.nextInt(800);
            List<Member> taken = queue.take(most, bytes, Set.of(), 10_000);
            assertTrue(taken.size() <= most);
            assertTrue(taken.stream().mapToInt(MemberRules::bytes).sum() <= bytes);
        }
        queue.offer(member("news", 1));
        assertEquals("news", queue.take(1, 700, Set.of(), 100).get(0).name());
        queue.offer(member("more", 1));
        queue.offer(member("dead", 1).with(1, Health.DEAD));
        assertEquals(
                "more",
                queue.take(1, 700, Set.of(), 100).get(0).name(),
                "who lives before who is dead");
        queue.offer(member("self", 1));
        queue.take(1, 700, Set.of(), 100);
        assertEquals(
                "self", queue.take(1, 700, Set.of(), 100).get(0).name(), "the own word before all");
        assertFalse(queue.take(10, 700, Set.of("more"), 100).contains(member("more", 1)));
    }

    @Test
    void aNewerStatementTakesThePlaceAndHearingTheSameShortensIt() {
        queue.offer(member("a", 1));
        queue.offer(member("a", 2));
        assertEquals(List.of(member("a", 2)), queue.take(10, 700, Set.of(), 100));
        queue.heard(member("a", 1), 100);
        int left = 0;
        while (!queue.isEmpty()) {
            queue.heard(member("a", 2), 100);
            left += queue.take(1, 700, Set.of(), 100).size();
        }
        assertTrue(
                left < GossipQueue.sends(100) - 1 && left > GossipQueue.sends(100) / 2,
                "sent " + left);
    }
}
