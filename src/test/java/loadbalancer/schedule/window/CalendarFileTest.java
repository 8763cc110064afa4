package loadbalancer.schedule.window;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CalendarFileTest {
    private static final String ALL_KEYS =
            """
            revision = 7
            from = 2026-12-01 06:00:00+01:00
            revoke = ["0123456789abcdef0123456789abcdef"]
            [[window]]
            name = "night"
            start = 2026-12-01T22:00:00
            zone = "Europe/Vienna"
            rrule = "FREQ=DAILY"
            length = "PT8H"
            except = [2026-12-24, 2026-12-31T22:00:00]
            ramp = 60
            target = { kind = "big", zone = "a", cell = 3, ids = ["u1", "u2"] }
            classes = ["search"]
            tenants = ["t1"]
            factor = 0.5
            priority = 3
            [[window]]
            name = "all"
            start = 2026-12-01T22:00:00
            zone = "Europe/Vienna"
            length = "PT8H"
            target = {}
            factor = 2
            """;

    private static CalendarRevision parse(String text) throws InvalidScheduleException {
        return CalendarFile.parse("f.toml", text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readsFileWithAllKeys(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("calendar.toml");
        CalendarRevision revision = CalendarFile.read(Files.writeString(file, ALL_KEYS));
        assertEquals(7, revision.number());
        assertEquals(TimetableTest.utc("2026-12-01T05:00:00"), revision.effectiveFromMicros());
        assertEquals(Set.of("0123456789abcdef0123456789abcdef"), revision.revokedDigests());
        Window night = revision.windows().get(0);
        assertEquals(
                List.of(8 * 3_600_000_000L, 60_000_000L, 3L, 0.5),
                List.of(
                        night.lengthMicros(),
                        night.rampMicros(),
                        (long) night.priority(),
                        night.factor()));
        assertTrue(night.applies(new UpstreamAttributes("u1", "a", "big", 3), "search", "t1"));
        for (UpstreamAttributes other :
                List.of(
                        new UpstreamAttributes("u3", "a", "big", 3),
                        new UpstreamAttributes("u1", "b", "big", 3),
                        new UpstreamAttributes("u1", "a", "small", 3),
                        new UpstreamAttributes("u1", "a", "big", 4))) {
            assertTrue(!night.applies(other, "search", "t1"));
        }
        assertTrue(!night.applies(new UpstreamAttributes("u1", "a", "big", 3), "book", "t1"));
        assertTrue(!night.applies(new UpstreamAttributes("u1", "a", "big", 3), "search", "t2"));
        assertEquals(
                List.of("night: unknown class search"),
                revision.unknownNames(Set.of("book"), Set.of("t1")));
        assertThrows(
                InvalidScheduleException.class, () -> CalendarFile.read(folder.resolve("none")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "revision = 7|revision = 0|f.toml revision: expected a whole number",
                "revision = 7|revision = 7.5|f.toml revision: expected a whole number",
                "revision = 7|revisions = 7|f.toml revisions: unknown key",
                "revision = 7|revision = |f.toml line 1: ",
                "+01:00|''|f.toml from: expected a date and time with an offset",
                "0123456789abcdef0|x|f.toml revoke: expected digests",
                "name = \"night\"|name = 3|f.toml window 1 name: expected a non-empty string",
                "name = \"all\"|name = \"night\"|f.toml window 2 night name: another window has the"
                        + " same name",
                "factor = 0.5|factor = 0.05|f.toml window 1 night factor: expected a number from"
                        + " 0.1 to 10",
                "factor = 0.5|factor = nan|f.toml window 1 night factor: expected a number",
                "factor = 0.5|factors = 1|f.toml window 1 night factors: unknown key",
                "length = \"PT8H\"|length = \"PT9S\"|f.toml window 1 night length: expected whole"
                        + " seconds",
                "length = \"PT8H\"|length = \"8h\"|f.toml window 1 night length: expected whole"
                        + " seconds",
                "ramp = 60|ramp = 14401|f.toml window 1 night ramp: expected a whole number from 0"
                        + " to 14400",
                "Europe/Vienna|Europe/Wien|f.toml window 1 night zone: expected a time zone",
                "12-01T22|13-01T22|f.toml window 1 night start: expected a local date",
                "2026-12-24|2026-02-30|f.toml window 1 night except: expected local dates",
                "cell = 3|cell = -3|f.toml window 1 night target cell: expected a whole number",
                "cell = 3|cel = 3|f.toml window 1 night target cel: unknown key",
                "target = {}|''|f.toml window 2 all target: is missing",
                "priority = 3|priority = 0|f.toml window 2 all priority: may apply to the same"
                        + " requests as night",
                "FREQ=DAILY|FREQ=NEVER|f.toml window 1 night rrule: not a valid RFC 5545 rule"
            })
    void rejectsInvalidFileNamingThePlace(String valid, String invalid, String line) {
        int at = ALL_KEYS.indexOf(valid);
        String text = ALL_KEYS.substring(0, at) + invalid + ALL_KEYS.substring(at + valid.length());
        String message =
                assertThrows(InvalidScheduleException.class, () -> parse(text)).getMessage();
        assertTrue(message.startsWith(line) && message.lines().count() == 1, message);
    }

    @Test
    void acceptsEqualPrioritiesOfDisjointWindows() throws InvalidScheduleException {
        String text = ALL_KEYS.replace("priority = 3", "");
        assertThrows(InvalidScheduleException.class, () -> parse(text));
        for (String disjointTarget :
                List.of(
                        "{ kind = \"small\" }",
                        "{ zone = \"b\" }",
                        "{ cell = 4 }",
                        "{ ids = [\"u3\"] }",
                        "{}\nclasses = [\"book\"]",
                        "{}\ntenants = [\"t2\"]")) {
            assertEquals(
                    2,
                    parse(text.replace("target = {}", "target = " + disjointTarget))
                            .windows()
                            .size());
        }
    }

    @Test
    void rejectsFilesBeyondTheLimits() {
        String window = ALL_KEYS.substring(ALL_KEYS.indexOf("[[window]]\nname = \"all\""));
        assertThrows(
                InvalidScheduleException.class,
                () -> parse(ALL_KEYS + "#".repeat(CalendarFile.MAX_BYTES)));
        String many = "revision = 1\nfrom = 2026-12-01T06:00:00Z\n";
        for (int i = 0; i < 65; i++) {
            many += window.replace("all", "w" + i).replace("{}", "{ cell = " + i + " }");
        }
        String all = many;
        assertTrue(
                assertThrows(InvalidScheduleException.class, () -> parse(all))
                        .getMessage()
                        .contains("at most 64"));
        String dates = "2026-12-24, ".repeat(65);
        assertTrue(
                assertThrows(
                                InvalidScheduleException.class,
                                () -> parse(ALL_KEYS.replace("2026-12-24, ", dates)))
                        .getMessage()
                        .contains("except: expected a list of 1 to 64"));
    }

    @Test
    void parsesOrRejectsCorruptedBytes() {
        byte[] valid = ALL_KEYS.getBytes(StandardCharsets.UTF_8);
        int rejected = 0;
        for (int seed = 0; seed < 1_500; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            byte[] bytes = valid.clone();
            for (int i = 0; i <= random.nextInt(4); i++) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                CalendarFile.parse("fuzz", bytes);
            } catch (InvalidScheduleException e) {
                rejected++;
                assertEquals(1, e.getMessage().lines().count());
            }
        }
        assertTrue(rejected > 500, "rejected " + rejected);
    }
}
