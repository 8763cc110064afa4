package loadbalancer.rollout.plan;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** A table of a plan file that checks values when they are read. Immutable. */
final class PlanSection {
    /** Excludes paths and characters with a special meaning in shells or logs. */
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,47}";

    private final String prefix;
    private final JsonNode node;

    /**
     * Creates a section for a node that may be missing.
     *
     * @param prefix prefix of the keys in messages
     */
    PlanSection(String prefix, JsonNode node) {
        this.prefix = prefix;
        this.node = node;
    }

    /**
     * Checks that the section is a table or missing.
     *
     * @throws InvalidPlanException if the section has another type
     */
    void requireTable() throws InvalidPlanException {
        if (!node.isMissingNode() && !node.isObject()) {
            throw new InvalidPlanException(prefix, "expected a table");
        }
    }

    /**
     * Checks that the section has only known keys.
     *
     * @throws InvalidPlanException if there is an unknown key or the section is not a table
     */
    void requireKnownKeys(List<String> known) throws InvalidPlanException {
        requireTable();
        for (var entry : node.properties()) {
            if (!known.contains(entry.getKey())) {
                throw new InvalidPlanException(
                        prefix + entry.getKey(),
                        "unknown key; expected one of " + String.join(", ", known));
            }
        }
    }

    boolean has(String key) {
        return node.has(key);
    }

    JsonNode child(String key) {
        return node.path(key);
    }

    /** Returns a nested table. */
    PlanSection section(String key) {
        return new PlanSection(key + ".", node.path(key));
    }

    /**
     * Returns a required string.
     *
     * @throws InvalidPlanException if the value is missing or not a string
     */
    String requireText(String key) throws InvalidPlanException {
        if (!node.path(key).isTextual()) {
            throw new InvalidPlanException(prefix + key, "expected a string");
        }
        return node.path(key).asText();
    }

    /**
     * Returns a required name of 1 to 48 characters.
     *
     * @throws InvalidPlanException if the value is missing or not a name
     */
    String requireName(String key) throws InvalidPlanException {
        String text = requireText(key);
        if (!text.matches(NAME_PATTERN)) {
            throw new InvalidPlanException(
                    prefix + key, "expected 1 to 48 letters, digits, dots, dashes or underscores");
        }
        return text;
    }

    /**
     * Returns a required whole number within inclusive bounds.
     *
     * @throws InvalidPlanException if the value is missing or invalid
     */
    long requireLong(String key, long min, long max) throws InvalidPlanException {
        JsonNode value = node.path(key);
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.longValue() < min
                || value.longValue() > max) {
            throw new InvalidPlanException(
                    prefix + key, "expected a whole number from " + min + " to " + max);
        }
        return value.longValue();
    }

    /**
     * Returns a whole number within inclusive bounds, or the default if the key is missing.
     *
     * @throws InvalidPlanException if the value is invalid
     */
    long optionalLong(String key, long min, long max, long defaultValue)
            throws InvalidPlanException {
        return node.has(key) ? requireLong(key, min, max) : defaultValue;
    }

    /**
     * Returns a number within inclusive bounds, or the default if the key is missing.
     *
     * @throws InvalidPlanException if the value is invalid
     */
    double optionalDouble(String key, double min, double max, double defaultValue)
            throws InvalidPlanException {
        JsonNode value = node.path(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        double number = value.doubleValue();
        if (!value.isNumber() || !(number >= min && number <= max)) {
            throw new InvalidPlanException(
                    prefix + key, "expected a number from " + min + " to " + max);
        }
        return number;
    }
}
