package loadbalancer.rollout.plan;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** One table of a plan file; each exception names the key. Immutable. */
final class PlanSection {
    /** No path, and nothing that a shell or a log takes for more than a name. */
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,47}";

    private final String prefix;
    private final JsonNode node;

    /**
     * Of a node that may be missing.
     *
     * @param prefix of its keys in messages
     */
    PlanSection(String prefix, JsonNode node) {
        this.prefix = prefix;
        this.node = node;
    }

    /**
     * Checks that it is a table or missing.
     *
     * @throws InvalidPlanException if it is anything else
     */
    void requireTable() throws InvalidPlanException {
        if (!node.isMissingNode() && !node.isObject()) {
            throw new InvalidPlanException(prefix, "expected a section");
        }
    }

    /**
     * Checks that it has no other keys.
     *
     * @throws InvalidPlanException if it has, or is no table
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

    /** A table in this one. */
    PlanSection section(String key) {
        return new PlanSection(key + ".", node.path(key));
    }

    /**
     * A string.
     *
     * @throws InvalidPlanException if it is missing or anything else
     */
    String requireText(String key) throws InvalidPlanException {
        if (!node.path(key).isTextual()) {
            throw new InvalidPlanException(prefix + key, "expected a text");
        }
        return node.path(key).asText();
    }

    /**
     * A plain name of 1 to 48 characters.
     *
     * @throws InvalidPlanException if it is missing or anything else
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
     * A whole number within bounds that must be there.
     *
     * @throws InvalidPlanException if it is missing or anything else
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
     * A whole number within bounds, or the default where it is missing.
     *
     * @throws InvalidPlanException if it is anything else
     */
    long optionalLong(String key, long min, long max, long defaultValue)
            throws InvalidPlanException {
        return node.has(key) ? requireLong(key, min, max) : defaultValue;
    }

    /**
     * A number within bounds, or the default where it is missing.
     *
     * @throws InvalidPlanException if it is anything else
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
