package loadbalancer.node;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * The keys of a JSON text by their paths, to tell whether a new file is short of one of the present
 * file. Of the objects in a list those keys count that all of them have: the others are left out at
 * will.
 */
final class JsonKeyPaths {
    private static final String EACH = "[]";

    private final Set<String> paths = new TreeSet<>();

    /** Lists that have no objects, and so no keys to compare. */
    private final Set<String> empty = new HashSet<>();

    /** Reads a text that is known to be JSON; what lies under {@code except} does not count. */
    static JsonKeyPaths of(byte[] text, String except) throws IOException {
        JsonKeyPaths result = new JsonKeyPaths();
        try (JsonParser json = Config.JSON.createParser(text)) {
            json.nextToken();
            result.read(json, "", result.paths);
        }
        result.paths.removeIf(p -> p.startsWith("." + except + "."));
        result.paths.removeIf(p -> p.startsWith("." + except + EACH));
        return result;
    }

    private void read(JsonParser json, String path, Set<String> into) throws IOException {
        if (json.currentToken() == JsonToken.START_OBJECT) {
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String key = path + "." + json.currentName();
                into.add(key);
                json.nextToken();
                read(json, key, into);
            }
        } else if (json.currentToken() == JsonToken.START_ARRAY) {
            Set<String> common = null;
            while (json.nextToken() != JsonToken.END_ARRAY) {
                Set<String> keys = new HashSet<>();
                boolean object = json.currentToken() == JsonToken.START_OBJECT;
                read(json, path + EACH, keys);
                if (object && common == null) {
                    common = keys;
                } else if (object) {
                    common.retainAll(keys);
                }
            }
            if (common == null) {
                empty.add(path + EACH);
            } else {
                into.addAll(common);
            }
        }
    }

    /** The first key that the other has and this lacks; null if there is none. */
    String lackedOf(JsonKeyPaths other) {
        for (String path : other.paths) {
            if (!paths.contains(path) && empty.stream().noneMatch(path::startsWith)) {
                return path.substring(1);
            }
        }
        return null;
    }
}
