package loadbalancer.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Reads TOML files of operators and rejects unknown keys and sections. All methods throw an {@link
 * InvalidOperatorFileException} that names the file and the key.
 */
final class TomlFile {
    private TomlFile() {}

    /** Parses a file and checks its top-level keys and sections against the known ones. */
    static JsonNode read(Path file, List<String> knownKeys) throws InvalidOperatorFileException {
        JsonNode tree;
        try {
            tree = new TomlMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw new InvalidOperatorFileException(
                    file + (e.getLocation() == null ? "" : " line " + e.getLocation().getLineNr()),
                    e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new InvalidOperatorFileException(file.toString(), "can't be read");
        }
        requireKnown(file, "", tree, knownKeys);
        return tree;
    }

    /** Returns a section after checking its keys; a missing node if the section is absent. */
    static JsonNode section(Path file, JsonNode tree, String name, List<String> knownKeys)
            throws InvalidOperatorFileException {
        JsonNode section = tree.path(name);
        if (!section.isMissingNode() && !section.isObject()) {
            throw new InvalidOperatorFileException(
                    file + " " + name, "expected a section [" + name + "]");
        }
        requireKnown(file, name + ".", section, knownKeys);
        return section;
    }

    private static void requireKnown(
            Path file, String prefix, JsonNode node, List<String> knownKeys)
            throws InvalidOperatorFileException {
        for (var entry : node.properties()) {
            if (!knownKeys.contains(entry.getKey())) {
                throw new InvalidOperatorFileException(
                        file + " " + prefix + entry.getKey(),
                        "unknown key; expected one of " + String.join(", ", knownKeys));
            }
        }
    }

    /** Returns the string of a value, or the default if the value is absent. */
    static String text(Path file, String key, JsonNode value, String defaultValue)
            throws InvalidOperatorFileException {
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isTextual()) {
            throw new InvalidOperatorFileException(
                    file + " " + key, "expected a string (keys that contain dots must be quoted)");
        }
        return value.asText();
    }
}
