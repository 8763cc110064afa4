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
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;

/**
 * Reads the operators' calendar, a TOML file. An invalid file is rejected as a whole with a
 * one-line message. Stateless.
 */
public final class CalendarFile {
    /** Maximum size in bytes, so that the file fits in one replicated document. */
    public static final int MAX_BYTES = 16 * 1024;

    /** Bounds the evaluation at each change; 64 windows with all keys fill {@link #MAX_BYTES}. */
    private static final int MAX_WINDOWS = 64;

    /** Largest number that is exact in every number format, including doubles. */
    private static final long MAX_NUMBER = 1L << 53;

    /** SHA-256 is truncated to 128 bits. */
    private static final int DIGEST_BYTES = 16;

    private CalendarFile() {}

    /**
     * Reads and checks a file.
     *
     * @throws InvalidScheduleException if the file cannot be read or is invalid
     */
    public static CalendarRevision read(Path file) throws InvalidScheduleException {
        try (InputStream in = Files.newInputStream(file)) {
            return parse(file.toString(), in.readNBytes(MAX_BYTES + 1));
        } catch (IOException e) {
            throw new InvalidScheduleException(file.toString(), "cannot be read");
        }
    }

    /**
     * Parses a calendar's bytes.
     *
     * @param place source of the bytes, the prefix of messages
     * @throws InvalidScheduleException if the calendar is invalid
     */
    public static CalendarRevision parse(String place, byte[] bytes)
            throws InvalidScheduleException {
        if (bytes.length > MAX_BYTES) {
            throw new InvalidScheduleException(
                    place, "exceeds the maximum of " + MAX_BYTES + " bytes");
        }
        TomlTable table =
                new TomlTable(place, parseToml(place, bytes), CalendarFieldNames.TOP_LEVEL);
        long number = table.requireLong(CalendarFieldNames.NUMBER, 1, MAX_NUMBER);
        long effectiveFromMicros = effectiveFromMicros(table);
        Set<String> revokedDigests = revokedDigests(table);
        List<Window> windows = windows(place, table.child(CalendarFieldNames.WINDOWS));
        return new CalendarRevision(
                number, effectiveFromMicros, windows, revokedDigests, digest(bytes), bytes);
    }

    /** Returns the digest that identifies a calendar: SHA-256 truncated to 128 bits, in hex. */
    public static String digest(byte[] bytes) {
        return HexFormat.of().formatHex(sha256().digest(bytes), 0, DIGEST_BYTES);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    private static JsonNode parseToml(String place, byte[] bytes) throws InvalidScheduleException {
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
                    TomlTable.printable(
                            e.getOriginalMessage().lines().findFirst().orElse("not valid TOML")));
        } catch (RuntimeException e) {
            // The TOML library throws other exceptions for some malformed input.
            throw new InvalidScheduleException(place, "not valid TOML");
        }
    }

    private static long effectiveFromMicros(TomlTable table) throws InvalidScheduleException {
        String key = CalendarFieldNames.EFFECTIVE_FROM;
        try {
            OffsetDateTime time =
                    OffsetDateTime.parse(WindowReader.toIso8601(table.requireText(key)));
            if (time.getYear() < 1970 || time.getYear() > 2200) {
                throw table.invalid(key, "expected a year from 1970 to 2200");
            }
            return time.toEpochSecond() * 1_000_000 + time.getNano() / 1_000;
        } catch (DateTimeException e) {
            throw table.invalid(
                    key, "expected a date and time with an offset, such as 2026-12-01T06:00:00Z");
        }
    }

    private static Set<String> revokedDigests(TomlTable table) throws InvalidScheduleException {
        Set<String> digests = table.optionalTextSet(CalendarFieldNames.REVOKED_DIGESTS);
        for (String digest : digests) {
            if (!isDigest(digest)) {
                throw table.invalid(
                        CalendarFieldNames.REVOKED_DIGESTS,
                        "expected digests of 32 hexadecimal digits");
            }
        }
        return digests;
    }

    /** Returns whether a text has the format of a calendar digest. */
    public static boolean isDigest(String text) {
        return text.matches("[0-9a-f]{32}");
    }

    private static List<Window> windows(String place, JsonNode list)
            throws InvalidScheduleException {
        if (list.isMissingNode()) {
            return List.of();
        }
        if (!list.isArray() || list.size() > MAX_WINDOWS) {
            throw new InvalidScheduleException(
                    place + " " + CalendarFieldNames.WINDOWS,
                    "expected at most " + MAX_WINDOWS + " [[window]] tables");
        }
        List<Window> windows = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            JsonNode name = list.get(i).path(CalendarFieldNames.NAME);
            String windowPlace =
                    place
                            + " window "
                            + (i + 1)
                            + (name.isTextual() ? " " + TomlTable.printable(name.asText()) : "");
            Window window = WindowReader.read(windowPlace, list.get(i));
            requireNoConflict(windowPlace, window, windows);
            windows.add(window);
        }
        return windows;
    }

    private static void requireNoConflict(String place, Window window, List<Window> others)
            throws InvalidScheduleException {
        for (Window other : others) {
            if (other.name().equals(window.name())) {
                throw new InvalidScheduleException(
                        place + " " + CalendarFieldNames.NAME, "another window has the same name");
            }
            if (other.priority() == window.priority() && !other.isDisjointFrom(window)) {
                throw new InvalidScheduleException(
                        place + " " + CalendarFieldNames.PRIORITY,
                        "may apply to the same requests as "
                                + other.name()
                                + ", which has the same priority; change one of the priorities");
            }
        }
    }
}
