package loadbalancer.schedule.window;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Drawn calendars against a model that tries each hour. */
class TimetableModelTest {
    private static final long MINUTE = 60_000_000;

    private int compared, inForce;

    @Test
    void drawnCalendarsHaveTheFactorsOfTheSlowModel() {
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<SlowCalendar> windows = new ArrayList<>();
            String text = "revision = 1\nfrom = 2020-01-01T00:00:00Z\n";
            for (int i = 0; i < 1 + random.nextInt(3); i++) {
                windows.add(new SlowCalendar(random, i));
                text += windows.get(i).toml("w" + i);
            }
            try {
                compare(
                        text,
                        windows,
                        new Timetable(
                                CalendarFile.parse("drawn", text.getBytes(StandardCharsets.UTF_8))
                                        .windows()),
                        random);
            } catch (InvalidScheduleException e) {
                assertTrue(
                        e.getMessage().contains("never") || e.getMessage().contains("left"),
                        e + text);
            }
        }
        assertTrue(compared > 10_000 && inForce > compared / 10, compared + " " + inForce);
    }

    private void compare(
            String text, List<SlowCalendar> windows, Timetable table, SplittableRandom random) {
        List<Long> starts = windows.stream().flatMap(w -> w.starts.stream()).sorted().toList();
        if (starts.isEmpty()) {
            return;
        }
        long first = windows.stream().mapToLong(w -> utc(w.start)).min().orElseThrow();
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
            Factors f = table.at(at);
            long next = Math.min(f.validUntil(), first + 400L * 24 * 60 * MINUTE);
            compare(text, windows, f, at);
            compare(text, windows, f, next - 1);
            compare(text, windows, f, at + random.nextLong(Math.max(1, next - at)));
            assertTrue(next > at);
        }
    }

    private void compare(String text, List<SlowCalendar> windows, Factors f, long at) {
        for (String kind : List.of("big", "small")) {
            double log = 0;
            for (SlowCalendar w : windows) {
                if (w.kind.isEmpty() || w.kind.equals(kind)) {
                    double p = w.position(at);
                    log = log * (1 - p) + Math.log(w.factor) * p;
                }
            }
            compared++;
            inForce += log != 0 ? 1 : 0;
            assertEquals(
                    Math.exp(log),
                    f.of(new Listed("u", "z", kind, 1), "c", "t"),
                    1e-9,
                    () -> at + " " + text);
        }
    }

    private static long utc(java.time.LocalDateTime time) {
        return Recurrence.seconds(time) * 1_000_000 + 24 * 60 * MINUTE;
    }
}
