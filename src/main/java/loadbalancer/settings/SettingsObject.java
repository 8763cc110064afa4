package loadbalancer.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON object of the settings, with its values grouped by type. Booleans are stored as the
 * numbers 1 and 0. The default is returned for a value that is absent, null or of another type than
 * the requested one.
 */
final class SettingsObject {
    /** Field name under which a list element that is a plain value is stored. */
    static final String LIST_ELEMENT = "";

    private static final SettingsObject EMPTY = new SettingsObject();

    private final Map<String, Double> numbers = new HashMap<>();
    private final Map<String, String> texts = new HashMap<>();
    private final Map<String, SettingsObject> objects = new HashMap<>();
    private final Map<String, List<SettingsObject>> lists = new HashMap<>();

    private SettingsObject() {}

    /** Reads an object. The parser must be at its start token; it is at its end token on return. */
    static SettingsObject read(JsonParser parser) throws IOException {
        SettingsObject object = new SettingsObject();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonToken token = parser.nextToken();
            if (token == JsonToken.START_ARRAY) {
                object.lists.put(name, readList(parser));
            } else {
                object.readValue(name, parser, token);
            }
        }
        return object;
    }

    private static List<SettingsObject> readList(JsonParser parser) throws IOException {
        List<SettingsObject> elements = new ArrayList<>();
        JsonToken token = parser.nextToken();
        while (token != null && token != JsonToken.END_ARRAY) {
            if (token == JsonToken.START_OBJECT) {
                elements.add(read(parser));
            } else if (token == JsonToken.START_ARRAY) {
                parser.skipChildren();
            } else {
                SettingsObject element = new SettingsObject();
                element.readValue(LIST_ELEMENT, parser, token);
                elements.add(element);
            }
            token = parser.nextToken();
        }
        return elements;
    }

    private void readValue(String name, JsonParser parser, JsonToken token) throws IOException {
        switch (token) {
            case START_OBJECT -> objects.put(name, read(parser));
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> numbers.put(name, parser.getDoubleValue());
            case VALUE_TRUE -> numbers.put(name, 1.0);
            case VALUE_FALSE -> numbers.put(name, 0.0);
            case VALUE_STRING -> texts.put(name, parser.getText());
            default -> {}
        }
    }

    /** Returns whether a field has a number or a boolean. */
    boolean hasNumber(String name) {
        return numbers.containsKey(name);
    }

    /** Returns whether a field has a text. */
    boolean hasText(String name) {
        return texts.containsKey(name);
    }

    /** Returns whether a field has an object. */
    boolean hasObject(String name) {
        return objects.containsKey(name);
    }

    /** Returns whether a field has a list, which may be empty. */
    boolean hasList(String name) {
        return lists.containsKey(name);
    }

    double number(String name, double defaultValue) {
        return numbers.getOrDefault(name, defaultValue);
    }

    /** Returns a number truncated to an integer. */
    int integer(String name, int defaultValue) {
        return (int) number(name, defaultValue);
    }

    /** Returns a time that the settings specify in seconds as microseconds; 0 by default. */
    long micros(String name) {
        return Micros.fromSeconds(number(name, 0));
    }

    boolean flag(String name) {
        return number(name, 0) != 0;
    }

    String text(String name, String defaultValue) {
        return texts.getOrDefault(name, defaultValue);
    }

    /** Returns a nested object; an empty one by default. */
    SettingsObject object(String name) {
        return objects.getOrDefault(name, EMPTY);
    }

    /** Returns the elements of a list; an empty list by default. */
    List<SettingsObject> list(String name) {
        return lists.getOrDefault(name, List.of());
    }

    /** Returns one text field of each element of a list; empty for an element without it. */
    List<String> textsOf(String listName, String textName) {
        return list(listName).stream().map(element -> element.text(textName, "")).toList();
    }

    /**
     * Returns the value that the text of a field maps to.
     *
     * @param values the valid texts and their values
     * @throws UnknownSettingValueException if the text is not one of {@code values}
     */
    <T> T choice(String name, Map<String, T> values, T defaultValue)
            throws UnknownSettingValueException {
        String text = texts.get(name);
        if (text == null) {
            return defaultValue;
        }
        if (!values.containsKey(text)) {
            throw new UnknownSettingValueException(name, text);
        }
        return values.get(text);
    }
}
