package loadbalancer.schedule.window;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.OffsetDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;

/**
 * Reads the operators' calendar, TOML by a library. Checked whole; a bad one is refused in one
 * line.
 */
public final class CalendarFile {
    /** Bytes at most: a document that the fleet shares, {@code SharedState.MAX_BODY_BYTES}. */
    public static final int MOST_BYTES = 16 * 1024;

    /** Windows at most: 64 with all keys fill the bytes, and each is looked at for each change. */
    static final int MOST_WINDOWS = 64;

    /** A shorter window than this is shorter than some balancers need to notice it under load. */
    static final Duration LEAST_LENGTH = Duration.ofSeconds(10);

    /**
     * Longer ones are a change of settings; it also bounds how many of one window are in force at a
     * time.
     */
    static final Duration MOST_LENGTH = Duration.ofDays(31);

    /** No number beyond it: all tell whole numbers up to here alike, whatever they hold them in. */
    static final long MOST_NUMBER = 1L << 53;

    private static final List<String> KEYS = List.of("revision", "from", "revoke", "window");
    private static final List<String> WINDOW_KEYS =
            List.of(
                    "name",
                    "start",
                    "zone",
                    "rrule",
                    "length",
                    "except",
                    "ramp",
                    "target",
                    "classes",
                    "tenants",
                    "factor",
                    "priority");
    private static final List<String> TARGET_KEYS = List.of("kind", "zone", "cell", "ids");

    private CalendarFile() {}

    /** Reads and checks a file. */
    public static Revision read(Path file) throws InvalidScheduleException {
        try (InputStream in = Files.newInputStream(file)) {
            return parse(file.toString(), in.readNBytes(MOST_BYTES + 1));
        } catch (IOException e) {
            throw new InvalidScheduleException(file.toString(), "can't be read");
        }
    }

    /** Checks a calendar's bytes; {@code place} begins the line if they are refused. */
    public static Revision parse(String place, byte[] bytes) throws InvalidScheduleException {
        if (bytes.length > MOST_BYTES) {
            throw new InvalidScheduleException(place, "longer than " + MOST_BYTES + " bytes");
        }
        JsonNode tree = tree(place, bytes);
        TableReader table = new TableReader(place, tree, KEYS);
        long number = table.whole("revision", 1, MOST_NUMBER, null);
        long from;
        try {
            OffsetDateTime time = OffsetDateTime.parse(iso(table.text("from", null)));
            if (time.getYear() < 1970 || time.getYear() > 2200) {
                throw table.bad("from", "expected a year from 1970 to 2200");
            }
            from = time.toEpochSecond() * 1_000_000 + time.getNano() / 1_000;
        } catch (DateTimeException e) {
            throw table.bad(
                    "from", "expected a date and time with its offset, as 2026-12-01T06:00:00Z");
        }
        Set<String> revokes = table.names("revoke");
        for (String digest : revokes) {
            if (!digest.matches("[0-9a-f]{32}")) {
                throw table.bad("revoke", "expected digests of 32 hexadecimal digits");
            }
        }
        return new Revision(
                number, from, windows(place, table.node("window")), revokes, digest(bytes), bytes);
    }

    /** SHA-256, cut to 128 bits: nobody finds a second file with the digest of the first. */
    public static String digest(byte[] bytes) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(bytes);
            return HexFormat.of().formatHex(hash, 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java has it
        }
    }

    private static JsonNode tree(String place, byte[] bytes) throws InvalidScheduleException {
        try {
            String text =
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
            return new TomlMapper().readTree(text);
        } catch (CharacterCodingException e) {
            throw new InvalidScheduleException(place, "is not UTF-8");
        } catch (JsonProcessingException e) {
            String line = e.getLocation() == null ? "" : " line " + e.getLocation().getLineNr();
            throw new InvalidScheduleException(
                    place + line,
                    TableReader.shown(
                            e.getOriginalMessage().lines().findFirst().orElse("no TOML")));
        } catch (RuntimeException e) {
            throw new InvalidScheduleException(
                    place, "no TOML"); // the library's own slips on broken text
        }
    }

    private static List<Window> windows(String place, JsonNode list)
            throws InvalidScheduleException {
        if (list.isMissingNode()) {
            return List.of();
        }
        if (!list.isArray() || list.size() > MOST_WINDOWS) {
            throw new InvalidScheduleException(
                    place + " window", "expected at most " + MOST_WINDOWS + " [[window]]");
        }
        List<Window> windows = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            JsonNode name = list.get(i).path("name");
            String at =
                    place
                            + " window "
                            + (i + 1)
                            + (name.isTextual() ? " " + TableReader.shown(name.asText()) : "");
            Window next = window(at, list.get(i));
            for (Window other : windows) {
                if (other.name().equals(next.name())) {
                    throw new InvalidScheduleException(
                            at + " name", "there is another one of that name");
                }
                if (other.priority() == next.priority() && !other.isApartFrom(next)) {
                    throw new InvalidScheduleException(
                            at + " priority",
                            "may be about the same requests as "
                                    + other.name()
                                    + ", which has the same priority; give one a higher one");
                }
            }
            windows.add(next);
        }
        return windows;
    }

    private static Window window(String place, JsonNode node) throws InvalidScheduleException {
        TableReader table = new TableReader(place, node, WINDOW_KEYS);
        String name = table.name("name", null);
        long length = length(table);
        long ramp = table.whole("ramp", 0, length / 2_000_000, 0L) * 1_000_000;
        return new Window(
                name,
                recurrence(table),
                length,
                ramp,
                target(place, table),
                table.names("classes"),
                table.names("tenants"),
                table.number("factor", 0.1, 10),
                (int) table.whole("priority", -1_000, 1_000, 0L));
    }

    private static long length(TableReader table) throws InvalidScheduleException {
        try {
            Duration length = Duration.parse(table.text("length", null));
            if (length.compareTo(LEAST_LENGTH) >= 0
                    && length.compareTo(MOST_LENGTH) <= 0
                    && length.getNano() == 0) {
                return length.toSeconds() * 1_000_000;
            }
        } catch (DateTimeException e) {
            // told below
        }
        throw table.bad("length", "expected whole seconds from PT10S to P31D, as PT8H30M");
    }

    private static Recurrence recurrence(TableReader table) throws InvalidScheduleException {
        ZoneId zone;
        LocalDateTime start;
        try {
            zone = ZoneId.of(table.text("zone", null));
        } catch (DateTimeException e) {
            throw table.bad("zone", "expected a zone of time, as Europe/Vienna");
        }
        try {
            start = LocalDateTime.parse(iso(table.text("start", null)));
        } catch (DateTimeException e) {
            throw table.bad("start", "expected a local date and time, as 2026-12-01T06:00:00");
        }
        if (start.getYear() < 1971 || start.getYear() > 2200 || start.getNano() != 0) {
            throw table.bad("start", "expected whole seconds and a year from 1971 to 2200");
        }
        Set<LocalDate> dates = new HashSet<>();
        Set<LocalDateTime> times = new HashSet<>();
        for (String text : table.texts("except")) {
            try {
                if (text.length() > 10) {
                    times.add(LocalDateTime.parse(iso(text)));
                } else {
                    dates.add(LocalDate.parse(text));
                }
            } catch (DateTimeException e) {
                throw table.bad("except", "expected local dates or local times of a beginning");
            }
        }
        try {
            return Recurrence.of(start, zone, table.text("rrule", ""), dates, times);
        } catch (InvalidRecurrenceException e) {
            throw table.bad("rrule", e.getMessage());
        }
    }

    private static Target target(String place, TableReader table) throws InvalidScheduleException {
        if (!table.has("target")) {
            throw table.bad("target", "is missing; {} means all upstreams");
        }
        TableReader target = new TableReader(place + " target", table.node("target"), TARGET_KEYS);
        return new Target(
                target.name("kind", ""),
                target.name("zone", ""),
                (int) target.whole("cell", 0, 1_000_000, -1L),
                target.names("ids"));
    }

    /** TOML allows a space where ISO 8601 has a T. */
    private static String iso(String time) {
        return time.replace(' ', 'T');
    }
}
