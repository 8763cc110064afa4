package loadbalancer.rollout.plan;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** One section of a plan; each complaint names the key. */
final class PlanSection {
    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,47}";

    private final String prefix;
    private final JsonNode node;

    PlanSection(String prefix, JsonNode node) {
        this.prefix = prefix;
        this.node = node;
    }

    /** A section that may be missing, but may not be anything else. */
    void section() throws InvalidPlanException {
        if (!node.isMissingNode() && !node.isObject()) {
            throw new InvalidPlanException(prefix, "expected a section");
        }
    }

    void only(List<String> known) throws InvalidPlanException {
        section();
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

    String text(String key) throws InvalidPlanException {
        if (!node.path(key).isTextual()) {
            throw new InvalidPlanException(prefix + key, "expected a text");
        }
        return node.path(key).asText();
    }

    /**
     * A name that is neither a path nor anything that a shell or a log would take for more than a
     * name.
     */
    String name(String key) throws InvalidPlanException {
        String text = text(key);
        if (!text.matches(NAME)) {
            throw new InvalidPlanException(
                    prefix + key, "expected 1 to 48 letters, digits, dots, dashes or underscores");
        }
        return text;
    }

    /** A whole number; null for {@code otherwise} means that it must be there. */
    long whole(String key, long least, long most, Long otherwise) throws InvalidPlanException {
        JsonNode value = node.path(key);
        if (value.isMissingNode() && otherwise != null) {
            return otherwise;
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.longValue() < least
                || value.longValue() > most) {
            throw new InvalidPlanException(
                    prefix + key, "expected a whole number from " + least + " to " + most);
        }
        return value.longValue();
    }

    double share(String key, double least, double most, double otherwise)
            throws InvalidPlanException {
        JsonNode value = node.path(key);
        if (value.isMissingNode()) {
            return otherwise;
        }
        double share = value.doubleValue();
        if (!value.isNumber() || !(share >= least && share <= most)) {
            throw new InvalidPlanException(
                    prefix + key, "expected a number from " + least + " to " + most);
        }
        return share;
    }
}
