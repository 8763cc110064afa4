package loadbalancer.schedule.window;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares random calendars with a model that tests each hour. */
class TimetableBruteForceTest {
    private static final long MINUTE = 60_000_000;

    private int compared;
    private int inEffect;

    @Test
    void factorsOfRandomCalendarsMatchTheBruteForceModel() {
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<BruteForceWindow> windows = new ArrayList<>();
            String text = "revision = 1\nfrom = 2020-01-01T00:00:00Z\n";
            for (int i = 0; i < 1 + random.nextInt(3); i++) {
                windows.add(new BruteForceWindow(random, i));
                text += windows.get(i).toml("w" + i);
            }
            try {
                compare(
                        text,
                        windows,
                        new Timetable(
                                CalendarFile.parse("random", text.getBytes(StandardCharsets.UTF_8))
                                        .windows()),
                        random);
            } catch (InvalidScheduleException e) {
                assertTrue(
                        e.getMessage().contains("never") || e.getMessage().contains("left"),
                        e + text);
            }
        }
        assertTrue(compared > 10_000 && inEffect > compared / 10, compared + " " + inEffect);
    }

    private void compare(
            String text, List<BruteForceWindow> windows, Timetable table, SplittableRandom random) {
        List<Long> starts =
                windows.stream().flatMap(window -> window.starts.stream()).sorted().toList();
        if (starts.isEmpty()) {
            return;
        }
        long first = windows.stream().mapToLong(window -> utc(window.start)).min().orElseThrow();
        for (int i = 0; i < 20; i++) {
            long start = starts.get(random.nextInt(starts.size()));
            long length = windows.get(random.nextInt(windows.size())).length * 1_000_000;
            long at =
                    switch (random.nextInt(5)) {
                        case 0 -> start + random.nextInt(3) - 1;
                        case 1 -> start + length + random.nextInt(3) - 1;
                        case 2 ->
                                start + random.nextInt(4_000) * 1_000_000L + random.nextInt(3) - 1;
                        case 3 ->
                                start
                                        + length
                                        - random.nextInt(4_000) * 1_000_000L
                                        + random.nextInt(3)
                                        - 1;
                        default -> start + random.nextLong(3 * length);
                    };
            at = Math.max(first, Math.min(at, first + 390L * 24 * 60 * MINUTE));
            WeightFactors factors = table.at(at);
            long next = Math.min(factors.validUntilMicros(), first + 400L * 24 * 60 * MINUTE);
            compare(text, windows, factors, at);
            compare(text, windows, factors, next - 1);
            compare(text, windows, factors, at + random.nextLong(Math.max(1, next - at)));
            assertTrue(next > at);
        }
    }

    private void compare(
            String text, List<BruteForceWindow> windows, WeightFactors factors, long at) {
        for (String kind : List.of("big", "small")) {
            double log = 0;
            for (BruteForceWindow window : windows) {
                if (window.kind.isEmpty() || window.kind.equals(kind)) {
                    double fraction = window.rampFraction(at);
                    log = log * (1 - fraction) + Math.log(window.factor) * fraction;
                }
            }
            compared++;
            inEffect += log != 0 ? 1 : 0;
            assertEquals(
                    Math.exp(log),
                    factors.factorFor(new UpstreamAttributes("u", "z", kind, 1), "class", "tenant"),
                    1e-9,
                    () -> at + " " + text);
        }
    }

    private static long utc(LocalDateTime time) {
        return Recurrence.toLocalSeconds(time) * 1_000_000 + 24 * 60 * MINUTE;
    }
}
