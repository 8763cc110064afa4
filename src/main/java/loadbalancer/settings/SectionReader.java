package loadbalancer.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the keys of one section of an operator's file; each complaint names the file and the key.
 *
 * @param file that the section stands in
 * @param name of the section, without its brackets; empty for the keys before the first section
 * @param section what stands in it
 */
record SectionReader(Path file, String name, JsonNode section) {
    private static final Pattern NAME = Pattern.compile("[\\x21-\\x7e]{1,64}");
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})" + ":(\\d{1,5})");
    private static final int LONGEST_ZONE = 64;

    /** The place of a key in complaints. */
    String place(String key) {
        return name.isEmpty() ? key : name + "." + key;
    }

    /** Complains about a key unless its value is good. */
    void check(boolean good, String key, String reason) throws InvalidOperatorFileException {
        if (!good) {
            throw complaint(key, reason);
        }
    }

    /** A complaint about a key. */
    InvalidOperatorFileException complaint(String key, String reason) {
        return new InvalidOperatorFileException(file + " " + place(key), reason);
    }

    /** Whether the key is there. */
    boolean has(String key) {
        return section.has(key);
    }

    /** A text, empty if the key is absent. */
    String text(String key) throws InvalidOperatorFileException {
        return text(key, "");
    }

    /** A text, with a default. */
    String text(String key, String otherwise) throws InvalidOperatorFileException {
        return TomlFile.text(file, place(key), section.path(key), otherwise);
    }

    /** A text that has to be there. */
    String required(String key) throws InvalidOperatorFileException {
        String text = text(key);
        check(
                !text.isEmpty(),
                key,
                name.isEmpty() ? "is needed" : "is needed in a section [" + name + "]");
        return text;
    }

    /** A name that has to be there. */
    String name(String key) throws InvalidOperatorFileException {
        String name = required(key);
        check(isName(name), key, "expected 1 to 64 printable characters without spaces");
        return name;
    }

    /** Whether a text can be a name. */
    static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** The zone of this process; it may be left out. */
    String zone() throws InvalidOperatorFileException {
        String zone = text("zone");
        check(
                zone.length() <= LONGEST_ZONE,
                "zone",
                "expected " + LONGEST_ZONE + " characters at most");
        return zone;
    }

    /** A list of texts. */
    List<String> list(String key, int most) throws InvalidOperatorFileException {
        JsonNode list = section.path(key);
        check(
                list.isArray() && list.size() <= most,
                key,
                "expected a list of texts, " + most + " at most");
        List<String> texts = new ArrayList<>();
        for (JsonNode text : list) {
            texts.add(TomlFile.text(file, place(key), text, ""));
        }
        return texts;
    }

    /** Checks the form of a numeric IPv4 address with its port. */
    String address(String key, String text, int leastPort) throws InvalidOperatorFileException {
        Matcher matcher = ADDRESS.matcher(text);
        boolean good = matcher.matches();
        for (int octet = 1; good && octet <= 4; octet++) {
            good = Integer.parseInt(matcher.group(octet)) <= 255;
        }
        int port = good ? Integer.parseInt(matcher.group(5)) : 0;
        check(
                good && port >= leastPort && port <= 65_535,
                key,
                "expected an address like 10.0.0.1:9700, got \"" + text + "\"");
        return text;
    }

    /** A whole number within bounds, with a default. */
    long integer(String key, long otherwise, long least, long most)
            throws InvalidOperatorFileException {
        JsonNode value = section.path(key);
        if (value.isMissingNode()) {
            return otherwise;
        }
        check(
                value.isIntegralNumber()
                        && value.canConvertToLong()
                        && value.longValue() >= least
                        && value.longValue() <= most,
                key,
                "expected a whole number from " + least + " to " + most);
        return value.longValue();
    }

    /** A number above 0 and within a bound, with a default. */
    double positive(String key, double otherwise, double most) throws InvalidOperatorFileException {
        JsonNode value = section.path(key);
        if (value.isMissingNode()) {
            return otherwise;
        }
        check(
                value.isNumber() && value.doubleValue() > 0 && value.doubleValue() <= most,
                key,
                "expected a number above 0, and " + (long) most + " at most");
        return value.doubleValue();
    }
}
