package loadbalancer.schedule.window;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One table of a calendar file; each value is checked as it is read. Immutable. */
final class TomlTable {
    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_LIST_LENGTH = 64;

    private final String place;
    private final JsonNode table;

    /**
     * A table with no other keys than the known ones.
     *
     * @param place in which messages begin
     * @throws InvalidScheduleException if the node is no such table
     */
    TomlTable(String place, JsonNode table, List<String> knownKeys)
            throws InvalidScheduleException {
        this.place = place;
        this.table = table;
        if (!table.isObject()) {
            throw new InvalidScheduleException(place, "expected a table");
        }
        for (var entry : table.properties()) {
            if (!knownKeys.contains(entry.getKey())) {
                throw invalid(
                        printable(entry.getKey()),
                        "unknown key; expected one of " + String.join(", ", knownKeys));
            }
        }
    }

    /** The exception for a key's value. */
    InvalidScheduleException invalid(String key, String reason) {
        return new InvalidScheduleException(place + (key.isEmpty() ? "" : " " + key), reason);
    }

    /** Text of a file, safe and short enough for a log line. */
    static String printable(String text) {
        String ascii = text.replaceAll("[^\\x20-\\x7e]", "?");
        return ascii.length() <= MAX_NAME_LENGTH
                ? ascii
                : ascii.substring(0, MAX_NAME_LENGTH) + "...";
    }

    boolean has(String key) {
        return table.has(key);
    }

    JsonNode child(String key) {
        return table.path(key);
    }

    /** A string or date-time that must be there. */
    String requireText(String key) throws InvalidScheduleException {
        JsonNode value = table.path(key);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw invalid(
                    key,
                    value.isMissingNode() ? "is missing" : "expected a text that is not empty");
        }
        return value.asText();
    }

    /** A string, empty where it is missing. */
    String optionalText(String key) throws InvalidScheduleException {
        return table.has(key) ? requireText(key) : "";
    }

    /** A printable name that must be there. */
    String requireName(String key) throws InvalidScheduleException {
        return checkedName(key, requireText(key));
    }

    /** A printable name, empty where it is missing. */
    String optionalName(String key) throws InvalidScheduleException {
        return checkedName(key, optionalText(key));
    }

    private String checkedName(String key, String name) throws InvalidScheduleException {
        if (name.length() > MAX_NAME_LENGTH || !printable(name).equals(name)) {
            throw invalid(key, "expected at most " + MAX_NAME_LENGTH + " printable characters");
        }
        return name;
    }

    /** A whole number within bounds that must be there. */
    long requireLong(String key, long min, long max) throws InvalidScheduleException {
        JsonNode value = table.path(key);
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.asLong() < min
                || value.asLong() > max) {
            throw invalid(key, "expected a whole number from " + min + " to " + max);
        }
        return value.asLong();
    }

    /** A whole number within bounds, or the default where it is missing. */
    long optionalLong(String key, long min, long max, long defaultValue)
            throws InvalidScheduleException {
        return table.has(key) ? requireLong(key, min, max) : defaultValue;
    }

    /** A number within bounds that must be there. */
    double requireDouble(String key, double min, double max) throws InvalidScheduleException {
        JsonNode value = table.path(key);
        if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
            throw invalid(key, "expected a number from " + min + " to " + max);
        }
        return value.asDouble();
    }

    /** A list of strings, empty where it is missing. */
    List<String> optionalTexts(String key) throws InvalidScheduleException {
        JsonNode value = table.path(key);
        if (value.isMissingNode()) {
            return List.of();
        }
        if (!value.isArray() || value.isEmpty() || value.size() > MAX_LIST_LENGTH) {
            throw invalid(key, "expected a list of 1 to " + MAX_LIST_LENGTH + " texts");
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode element : value) {
            if (!element.isTextual()
                    || element.asText().isEmpty()
                    || element.asText().length() > MAX_NAME_LENGTH) {
                throw invalid(key, "expected texts of 1 to " + MAX_NAME_LENGTH + " characters");
            }
            texts.add(element.asText());
        }
        return texts;
    }

    /** A set of strings, empty where it is missing. */
    Set<String> optionalTextSet(String key) throws InvalidScheduleException {
        return Set.copyOf(new LinkedHashSet<>(optionalTexts(key)));
    }
}
