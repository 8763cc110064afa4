package loadbalancer.lab.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/** One section of a drawn scenario, with a value for every key. */
public final class Section {
    private final String name;
    private final Map<String, JsonNode> values;

    Section(String name, Map<String, JsonNode> values) {
        this.name = name;
        this.values = values;
    }

    /** The name that the file gives it, as {@code fast} in {@code [kind.fast]}. */
    public String name() {
        return name;
    }

    private JsonNode value(String key) {
        JsonNode value = values.get(key);
        if (value == null) {
            throw new IllegalArgumentException("no key " + key + " in section " + name);
        }
        return value;
    }

    /** A number, in the unit of the key's name. */
    public double number(String key) {
        return value(key).asDouble();
    }

    /** A whole number. */
    public int whole(String key) {
        return (int) Math.rint(value(key).asDouble());
    }

    /** A switch. */
    public boolean flag(String key) {
        return value(key).asBoolean();
    }

    /** A text or one of a few words. */
    public String text(String key) {
        return value(key).asText();
    }

    /** A duration in microseconds, whatever unit the key's suffix names. */
    public long micros(String key) {
        double unit = key.endsWith("_us") ? 1 : key.endsWith("_ms") ? 1e3 : 1e6;
        return Math.round(number(key) * unit);
    }
}
