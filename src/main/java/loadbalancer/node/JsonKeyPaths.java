package loadbalancer.node;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * The paths of all keys in a JSON text, to find keys that another text lacks. For the objects in an
 * array only the keys that all of them have are recorded, as the others are optional. Instances are
 * not modified after reading.
 */
final class JsonKeyPaths {
    private static final String ARRAY_ELEMENT = "[]";

    private final Set<String> paths = new TreeSet<>();

    /** Paths of arrays without objects; keys below these are not compared. */
    private final Set<String> arraysWithoutObjects = new HashSet<>();

    /**
     * Reads the key paths of a JSON text.
     *
     * @param excludedKey key of the outermost object; keys below it are not recorded
     * @throws IOException if the text is not JSON
     */
    static JsonKeyPaths of(byte[] text, String excludedKey) throws IOException {
        JsonKeyPaths result = new JsonKeyPaths();
        try (JsonParser json = Config.JSON.createParser(text)) {
            json.nextToken();
            result.read(json, "", result.paths);
        }
        result.paths.removeIf(path -> path.startsWith("." + excludedKey + "."));
        result.paths.removeIf(path -> path.startsWith("." + excludedKey + ARRAY_ELEMENT));
        return result;
    }

    private void read(JsonParser json, String path, Set<String> into) throws IOException {
        if (json.currentToken() == JsonToken.START_OBJECT) {
            readObject(json, path, into);
        } else if (json.currentToken() == JsonToken.START_ARRAY) {
            readArray(json, path + ARRAY_ELEMENT, into);
        }
    }

    private void readObject(JsonParser json, String path, Set<String> into) throws IOException {
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String key = path + "." + json.currentName();
            into.add(key);
            json.nextToken();
            read(json, key, into);
        }
    }

    private void readArray(JsonParser json, String elementPath, Set<String> into)
            throws IOException {
        Set<String> commonKeys = null;
        while (json.nextToken() != JsonToken.END_ARRAY) {
            Set<String> keys = new HashSet<>();
            boolean isObject = json.currentToken() == JsonToken.START_OBJECT;
            read(json, elementPath, keys);
            if (isObject && commonKeys == null) {
                commonKeys = keys;
            } else if (isObject) {
                commonKeys.retainAll(keys);
            }
        }
        if (commonKeys == null) {
            arraysWithoutObjects.add(elementPath);
        } else {
            into.addAll(commonKeys);
        }
    }

    /** Returns the first path, in sort order, that the other has and this lacks; null if none. */
    String firstMissingOf(JsonKeyPaths other) {
        for (String path : other.paths) {
            if (!paths.contains(path)
                    && arraysWithoutObjects.stream().noneMatch(path::startsWith)) {
                return path.substring(1);
            }
        }
        return null;
    }
}
