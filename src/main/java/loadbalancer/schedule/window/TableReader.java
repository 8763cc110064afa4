package loadbalancer.schedule.window;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The keys of one table of the file, each checked as it is read. */
final class TableReader {
    /** Of a name: long enough for any, short enough for a line. */
    static final int LONGEST_NAME = 64;

    /** Values in a list. */
    static final int MOST_VALUES = 64;

    private final String place;
    private final JsonNode table;

    TableReader(String place, JsonNode table, List<String> known) throws InvalidScheduleException {
        this.place = place;
        this.table = table;
        if (!table.isObject()) {
            throw new InvalidScheduleException(place, "expected a table");
        }
        for (var entry : table.properties()) {
            if (!known.contains(entry.getKey())) {
                throw bad(
                        shown(entry.getKey()),
                        "unknown key; expected one of " + String.join(", ", known));
            }
        }
    }

    InvalidScheduleException bad(String key, String reason) {
        return new InvalidScheduleException(place + (key.isEmpty() ? "" : " " + key), reason);
    }

    /** What a file has, cut so that a line stays a line. */
    static String shown(String text) {
        String one = text.replaceAll("[^\\x20-\\x7e]", "?");
        return one.length() <= LONGEST_NAME ? one : one.substring(0, LONGEST_NAME) + "...";
    }

    boolean has(String key) {
        return table.has(key);
    }

    JsonNode node(String key) {
        return table.path(key);
    }

    /** A text or, as the library gives them, a time. */
    String text(String key, String otherwise) throws InvalidScheduleException {
        JsonNode value = table.path(key);
        if (value.isMissingNode() && otherwise != null) {
            return otherwise;
        }
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw bad(
                    key,
                    value.isMissingNode() ? "is missing" : "expected a text that is not empty");
        }
        return value.asText();
    }

    String name(String key, String otherwise) throws InvalidScheduleException {
        String name = text(key, otherwise);
        if (name.length() > LONGEST_NAME || !shown(name).equals(name)) {
            throw bad(key, "expected at most " + LONGEST_NAME + " printable characters");
        }
        return name;
    }

    long whole(String key, long least, long most, Long otherwise) throws InvalidScheduleException {
        JsonNode value = table.path(key);
        if (value.isMissingNode() && otherwise != null) {
            return otherwise;
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.asLong() < least
                || value.asLong() > most) {
            throw bad(key, "expected a whole number from " + least + " to " + most);
        }
        return value.asLong();
    }

    double number(String key, double least, double most) throws InvalidScheduleException {
        JsonNode value = table.path(key);
        if (!value.isNumber() || !(value.asDouble() >= least && value.asDouble() <= most)) {
            throw bad(key, "expected a number from " + least + " to " + most);
        }
        return value.asDouble();
    }

    List<String> texts(String key) throws InvalidScheduleException {
        JsonNode value = table.path(key);
        if (value.isMissingNode()) {
            return List.of();
        }
        if (!value.isArray() || value.isEmpty() || value.size() > MOST_VALUES) {
            throw bad(key, "expected a list of 1 to " + MOST_VALUES + " texts");
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode one : value) {
            if (!one.isTextual()
                    || one.asText().isEmpty()
                    || one.asText().length() > LONGEST_NAME) {
                throw bad(key, "expected texts of 1 to " + LONGEST_NAME + " characters");
            }
            texts.add(one.asText());
        }
        return texts;
    }

    Set<String> names(String key) throws InvalidScheduleException {
        return Set.copyOf(new LinkedHashSet<>(texts(key)));
    }
}
