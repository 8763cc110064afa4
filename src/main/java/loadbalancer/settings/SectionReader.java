package loadbalancer.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the keys of one section of an operator's file. All methods that read throw {@link
 * InvalidOperatorFileException} with the file, the key and what is expected if the value is
 * invalid.
 *
 * @param file that the section belongs to
 * @param name of the section, without its brackets; empty for the keys before the first section
 * @param section its keys and values
 */
record SectionReader(Path file, String name, JsonNode section) {
    private static final Pattern NAME = Pattern.compile("[\\x21-\\x7e]{1,64}");
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})" + ":(\\d{1,5})");
    private static final int MAX_ZONE_LENGTH = 64;
    private static final int OCTETS = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    /** Returns the place of a key for messages. */
    String place(String key) {
        return name.isEmpty() ? key : name + "." + key;
    }

    /** Throws unless the value of a key is valid. */
    void check(boolean isValid, String key, String reason) throws InvalidOperatorFileException {
        if (!isValid) {
            throw invalidKey(key, reason);
        }
    }

    /** Returns an exception about a key. */
    InvalidOperatorFileException invalidKey(String key, String reason) {
        return new InvalidOperatorFileException(file + " " + place(key), reason);
    }

    /** Whether the key is present. */
    boolean has(String key) {
        return section.has(key);
    }

    /** Returns a text, empty if the key is absent. */
    String text(String key) throws InvalidOperatorFileException {
        return text(key, "");
    }

    /** Returns a text, or the default if the key is absent. */
    String text(String key, String defaultValue) throws InvalidOperatorFileException {
        return TomlFile.text(file, place(key), section.path(key), defaultValue);
    }

    /** Returns a text that must be present and not empty. */
    String required(String key) throws InvalidOperatorFileException {
        String text = text(key);
        check(
                !text.isEmpty(),
                key,
                name.isEmpty() ? "is needed" : "is needed in a section [" + name + "]");
        return text;
    }

    /** Returns a name that must be present. */
    String name(String key) throws InvalidOperatorFileException {
        String name = required(key);
        check(isName(name), key, "expected 1 to 64 printable characters without spaces");
        return name;
    }

    /** Whether a text can be a name. */
    static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Returns the zone of this process, empty if the key is absent. */
    String zone() throws InvalidOperatorFileException {
        String zone = text("zone");
        check(
                zone.length() <= MAX_ZONE_LENGTH,
                "zone",
                "expected " + MAX_ZONE_LENGTH + " characters at most");
        return zone;
    }

    /** Returns a list of texts. */
    List<String> list(String key, int maxSize) throws InvalidOperatorFileException {
        JsonNode list = section.path(key);
        check(
                list.isArray() && list.size() <= maxSize,
                key,
                "expected a list of texts, " + maxSize + " at most");
        List<String> texts = new ArrayList<>();
        for (JsonNode text : list) {
            texts.add(TomlFile.text(file, place(key), text, ""));
        }
        return texts;
    }

    /** Checks a numeric IPv4 address with its port, and returns it. */
    String address(String key, String text, int minPort) throws InvalidOperatorFileException {
        Matcher matcher = ADDRESS.matcher(text);
        boolean isValid = matcher.matches();
        for (int octet = 1; isValid && octet <= OCTETS; octet++) {
            isValid = Integer.parseInt(matcher.group(octet)) <= MAX_OCTET;
        }
        int port = isValid ? Integer.parseInt(matcher.group(OCTETS + 1)) : 0;
        check(
                isValid && port >= minPort && port <= MAX_PORT,
                key,
                "expected an address like 10.0.0.1:9700, got \"" + text + "\"");
        return text;
    }

    /**
     * Returns a whole number from {@code min} to {@code max}, or the default if the key is absent.
     */
    long integer(String key, long defaultValue, long min, long max)
            throws InvalidOperatorFileException {
        JsonNode value = section.path(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        check(
                value.isIntegralNumber()
                        && value.canConvertToLong()
                        && value.longValue() >= min
                        && value.longValue() <= max,
                key,
                "expected a whole number from " + min + " to " + max);
        return value.longValue();
    }

    /** Returns a number above 0 and up to {@code max}, or the default if the key is absent. */
    double positive(String key, double defaultValue, double max)
            throws InvalidOperatorFileException {
        JsonNode value = section.path(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        check(
                value.isNumber() && value.doubleValue() > 0 && value.doubleValue() <= max,
                key,
                "expected a number above 0, and " + (long) max + " at most");
        return value.doubleValue();
    }
}
