package loadbalancer.schedule.window;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A table of a calendar file that checks each value when it is read. Immutable. */
final class TomlTable {
    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_LIST_LENGTH = 64;

    private final String place;
    private final JsonNode table;

    /**
     * Creates a table and checks its keys.
     *
     * @param place place of the table, the prefix of messages
     * @throws InvalidScheduleException if the node is not a table or has an unknown key
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

    /** Creates the exception for an invalid value; an empty key means the whole table. */
    InvalidScheduleException invalid(String key, String reason) {
        return new InvalidScheduleException(place + (key.isEmpty() ? "" : " " + key), reason);
    }

    /** Replaces unprintable characters and shortens a text for use in a log line. */
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

    /** Returns a required string or date-time. */
    String requireText(String key) throws InvalidScheduleException {
        JsonNode value = table.path(key);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw invalid(
                    key, value.isMissingNode() ? "is missing" : "expected a non-empty string");
        }
        return value.asText();
    }

    /** Returns a string, or an empty one if the key is missing. */
    String optionalText(String key) throws InvalidScheduleException {
        return table.has(key) ? requireText(key) : "";
    }

    /** Returns a required printable name. */
    String requireName(String key) throws InvalidScheduleException {
        return checkedName(key, requireText(key));
    }

    /** Returns a printable name, or an empty one if the key is missing. */
    String optionalName(String key) throws InvalidScheduleException {
        return checkedName(key, optionalText(key));
    }

    private String checkedName(String key, String name) throws InvalidScheduleException {
        if (name.length() > MAX_NAME_LENGTH || !printable(name).equals(name)) {
            throw invalid(key, "expected at most " + MAX_NAME_LENGTH + " printable characters");
        }
        return name;
    }

    /** Returns a required whole number within inclusive bounds. */
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

    /** Returns a whole number within inclusive bounds, or the default if the key is missing. */
    long optionalLong(String key, long min, long max, long defaultValue)
            throws InvalidScheduleException {
        return table.has(key) ? requireLong(key, min, max) : defaultValue;
    }

    /** Returns a required number within inclusive bounds. */
    double requireDouble(String key, double min, double max) throws InvalidScheduleException {
        JsonNode value = table.path(key);
        if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
            throw invalid(key, "expected a number from " + min + " to " + max);
        }
        return value.asDouble();
    }

    /** Returns a list of strings, or an empty one if the key is missing. */
    List<String> optionalTexts(String key) throws InvalidScheduleException {
        JsonNode value = table.path(key);
        if (value.isMissingNode()) {
            return List.of();
        }
        if (!value.isArray() || value.isEmpty() || value.size() > MAX_LIST_LENGTH) {
            throw invalid(key, "expected a list of 1 to " + MAX_LIST_LENGTH + " strings");
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode element : value) {
            if (!element.isTextual()
                    || element.asText().isEmpty()
                    || element.asText().length() > MAX_NAME_LENGTH) {
                throw invalid(key, "expected strings of 1 to " + MAX_NAME_LENGTH + " characters");
            }
            texts.add(element.asText());
        }
        return texts;
    }

    /** Returns a set of strings, or an empty one if the key is missing. */
    Set<String> optionalTextSet(String key) throws InvalidScheduleException {
        return Set.copyOf(new LinkedHashSet<>(optionalTexts(key)));
    }
}
