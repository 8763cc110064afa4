package loadbalancer.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the keys of one section of an operator's settings file. If a value is invalid, the methods
 * throw an {@link InvalidOperatorFileException} that names the file, the key and the valid values.
 *
 * @param file settings file that contains the section
 * @param name name of the section, without brackets; empty for the keys before the first section
 * @param section keys and values of the section
 */
record SectionReader(Path file, String name, JsonNode section) {
    private static final Pattern NAME = Pattern.compile("[\\x21-\\x7e]{1,64}");
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})" + ":(\\d{1,5})");
    private static final int MAX_ZONE_LENGTH = 64;
    private static final int OCTETS = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    /** Returns the path of a key for messages, such as {@code fleet.name}. */
    String place(String key) {
        return name.isEmpty() ? key : name + "." + key;
    }

    /** Throws an exception about a key unless its value is valid. */
    void check(boolean isValid, String key, String reason) throws InvalidOperatorFileException {
        if (!isValid) {
            throw invalidKey(key, reason);
        }
    }

    /** Returns an exception that names the file, the key and the reason. */
    InvalidOperatorFileException invalidKey(String key, String reason) {
        return new InvalidOperatorFileException(file + " " + place(key), reason);
    }

    /** Returns whether the section has this key. */
    boolean has(String key) {
        return section.has(key);
    }

    /** Returns the string value of a key, or an empty string if the key is absent. */
    String text(String key) throws InvalidOperatorFileException {
        return text(key, "");
    }

    /** Returns the string value of a key, or the default if the key is absent. */
    String text(String key, String defaultValue) throws InvalidOperatorFileException {
        return TomlFile.text(file, place(key), section.path(key), defaultValue);
    }

    /** Returns the string value of a required key; an empty string is rejected. */
    String required(String key) throws InvalidOperatorFileException {
        String text = text(key);
        check(
                !text.isEmpty(),
                key,
                name.isEmpty() ? "is required" : "is required in section [" + name + "]");
        return text;
    }

    /** Returns the value of a required key, which must be a valid name. */
    String name(String key) throws InvalidOperatorFileException {
        String name = required(key);
        check(isName(name), key, "expected 1 to 64 printable characters without spaces");
        return name;
    }

    /** Returns whether a text is a valid name: 1 to 64 printable characters without spaces. */
    static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Returns the zone of this process, or an empty string if the key is absent. */
    String zone() throws InvalidOperatorFileException {
        String zone = text("zone");
        check(
                zone.length() <= MAX_ZONE_LENGTH,
                "zone",
                "expected at most " + MAX_ZONE_LENGTH + " characters");
        return zone;
    }

    /** Returns a required list of strings. */
    List<String> list(String key, int maxSize) throws InvalidOperatorFileException {
        JsonNode list = section.path(key);
        check(
                list.isArray() && list.size() <= maxSize,
                key,
                "expected a list of at most " + maxSize + " strings");
        List<String> texts = new ArrayList<>();
        for (JsonNode text : list) {
            texts.add(TomlFile.text(file, place(key), text, ""));
        }
        return texts;
    }

    /**
     * Validates and returns a numeric IPv4 address with a port.
     *
     * @param key key to name in the exception
     * @param text address to validate
     * @param minPort lowest valid port: 0 where the operating system may choose one, 1 otherwise
     */
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

    /** Returns an integer from {@code min} to {@code max}, or the default if the key is absent. */
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
                "expected an integer from " + min + " to " + max);
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
                "expected a number above 0 (maximum " + (long) max + ")");
        return value.doubleValue();
    }
}
