package loadbalancer.lab.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class AgendaTest {
    @Test
    void eventsOfOneInstantKeepTheirOrderAlsoThoseAddedMeanwhile() {
        EventQueue agenda = new EventQueue(1000);
        List<String> seen = new ArrayList<>();
        agenda.in(5, () -> seen.add("b" + agenda.now()));
        agenda.in(
                0,
                () -> {
                    seen.add("a");
                    agenda.in(5, () -> seen.add("d"));
                    agenda.in(0, () -> seen.add("a2"));
                });
        agenda.in(5, () -> seen.add("c"));
        agenda.in(6, () -> seen.add("late"));
        while (agenda.step(1005)) {
            continue;
        }
        assertEquals(List.of("a", "a2", "b1005", "c", "d"), seen);
    }

    /**
     * Against a sort: thousands of events, many at the same time, put in before and while others
     * run.
     */
    @Test
    void allEventsComeInTheOrderOfTimeAndEntry() {
        EventQueue agenda = new EventQueue(0);
        SplittableRandom random = new SplittableRandom(7);
        List<long[]> entered = new ArrayList<>();
        List<Long> seen = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            long delay = random.nextInt(300);
            long number = entered.size();
            entered.add(new long[] {agenda.now() + delay, number});
            agenda.in(delay, () -> seen.add(number));
            if (i % 3 == 0) {
                agenda.step(Long.MAX_VALUE);
            }
        }
        while (agenda.step(Long.MAX_VALUE)) {
            continue;
        }
        assertEquals(entered.size(), seen.size());
        for (int i = 1; i < seen.size(); i++) {
            long[] a = entered.get(seen.get(i - 1).intValue());
            long[] b = entered.get(seen.get(i).intValue());
            assertTrue(b[0] > a[0] || b[0] == a[0] && b[1] > a[1], "event " + i);
        }
    }

    @Test
    void theTimeStandsAtTheEventAndNeverGoesBack() {
        EventQueue agenda = new EventQueue(10);
        agenda.at(3, () -> {});
        agenda.step(100);
        assertEquals(10, agenda.now());
    }
}
