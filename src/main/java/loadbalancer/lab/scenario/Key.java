package loadbalancer.lab.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import java.util.List;
import java.util.Locale;

/**
 * One key of a scenario: its section, its name with the unit as suffix, what it takes and what it
 * means. Numbers may be given as a range {@code [a, b]}; each replication then draws one value of
 * it.
 */
record Key(
        String section,
        String name,
        Type type,
        List<String> choices,
        double least,
        double most,
        String otherwise,
        String text) {

    /** What a key takes. */
    enum Type {
        NUMBER,
        WHOLE,
        FLAG,
        TEXT,
        CHOICE
    }

    /**
     * Reads a row of the table: name | type | default | meaning. A default of {@code -} means
     * required.
     */
    static Key of(String section, String row) {
        String[] cells = row.split("\\|", 4);
        String kind = cells[1].strip();
        String[] words = kind.split(" +");
        Type type = Type.valueOf(words[0].toUpperCase(Locale.ROOT));
        double least = Double.NEGATIVE_INFINITY;
        double most = Double.POSITIVE_INFINITY;
        List<String> choices = List.of();
        if (type == Type.CHOICE) {
            choices = List.of(words[1].split("/"));
        } else if (words.length > 1) {
            String[] ends = words[1].split("\\.\\.");
            least = Double.parseDouble(ends[0]);
            most = ends.length > 1 ? Double.parseDouble(ends[1]) : most;
        }
        return new Key(
                section,
                cells[0].strip(),
                type,
                choices,
                least,
                most,
                cells[2].strip(),
                cells[3].strip());
    }

    boolean required() {
        return otherwise.equals("-");
    }

    boolean numeric() {
        return type == Type.NUMBER || type == Type.WHOLE;
    }

    /** What this key takes, in words. */
    String expected() {
        return switch (type) {
            case NUMBER, WHOLE ->
                    (type == Type.WHOLE ? "a whole number" : "a number")
                            + bounds()
                            + ", or a range [a, b] of them";
            case FLAG -> "true or false";
            case TEXT -> "a text";
            case CHOICE -> "one of " + String.join(", ", choices);
        };
    }

    private String bounds() {
        if (least == Double.NEGATIVE_INFINITY) {
            return "";
        }
        return most == Double.POSITIVE_INFINITY
                ? " of at least " + plain(least)
                : " from " + plain(least) + " to " + plain(most);
    }

    static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? String.valueOf((long) value)
                : String.valueOf(value);
    }

    /** Whether a value of a file will do. */
    boolean takes(JsonNode value) {
        return switch (type) {
            case NUMBER, WHOLE ->
                    value.isArray()
                            ? value.size() == 2 && number(value.get(0)) && number(value.get(1))
                            : number(value);
            case FLAG -> value.isBoolean();
            case TEXT -> value.isTextual();
            case CHOICE -> value.isTextual() && choices.contains(value.asText());
        };
    }

    private boolean number(JsonNode value) {
        return value.isNumber()
                && value.asDouble() >= least
                && value.asDouble() <= most
                && (type != Type.WHOLE || value.asDouble() == Math.rint(value.asDouble()));
    }

    /** One value out of what the file says; {@code where} lies in 0 to 1 within a range. */
    JsonNode drawn(JsonNode value, double where) {
        if (!value.isArray()) {
            return value;
        }
        double a = value.get(0).asDouble();
        double b = value.get(1).asDouble();
        if (type == Type.WHOLE) {
            double low = Math.min(a, b);
            return new DoubleNode(
                    Math.min(Math.max(a, b), Math.floor(low + where * (Math.abs(b - a) + 1))));
        }
        return new DoubleNode(a + where * (b - a));
    }
}
