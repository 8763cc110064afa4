package loadbalancer.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What all TOML files of operators share: reading, and the complaints about unknown keys and
 * sections.
 */
final class TomlFile {
    private TomlFile() {}

    /** Reads a file whose keys and sections at the top are known. */
    static JsonNode read(Path file, List<String> known) throws InvalidOperatorFileException {
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
        requireKnown(file, "", tree, known);
        return tree;
    }

    /** A section whose keys are known; a missing node if it is not there. */
    static JsonNode section(Path file, JsonNode tree, String name, List<String> known)
            throws InvalidOperatorFileException {
        JsonNode section = tree.path(name);
        if (!section.isMissingNode() && !section.isObject()) {
            throw new InvalidOperatorFileException(
                    file + " " + name, "expected a section [" + name + "]");
        }
        requireKnown(file, name + ".", section, known);
        return section;
    }

    private static void requireKnown(Path file, String prefix, JsonNode node, List<String> known)
            throws InvalidOperatorFileException {
        for (var entry : node.properties()) {
            if (!known.contains(entry.getKey())) {
                throw new InvalidOperatorFileException(
                        file + " " + prefix + entry.getKey(),
                        "unknown key; expected one of " + String.join(", ", known));
            }
        }
    }

    /** A text, or what stands for an absent one. */
    static String text(Path file, String key, JsonNode value, String otherwise)
            throws InvalidOperatorFileException {
        if (value.isMissingNode()) {
            return otherwise;
        }
        if (!value.isTextual()) {
            throw new InvalidOperatorFileException(
                    file + " " + key, "expected a text (names with dots go in quotes)");
        }
        return value.asText();
    }
}
