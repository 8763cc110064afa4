package loadbalancer.node.supervisor;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.settings.InvalidInputException;

/**
 * The parent's file; every key is checked.
 *
 * @param programs folder of the program folders, each with its {@code load-balancer.jar} and {@code
 *     lib}
 * @param operators folder of the operator's files
 * @param base what runs where no plan has changed anything
 * @param state folder of the parent's own on a lasting disk
 * @param doors two addresses for the operators' doors of the processes, in turn; the configuration
 *     of the balancer must name none
 * @param options of the Java machine
 */
record SupervisorFile(
        Path programs,
        Path operators,
        Variant base,
        Path state,
        List<InetSocketAddress> doors,
        List<String> options) {
    private static final List<String> KEYS =
            List.of("programs", "operators", "program", "operator", "state", "doors", "options");

    static SupervisorFile read(Path file) throws InvalidInputException {
        JsonNode tree;
        try {
            tree = new TomlMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw new InvalidInputException(
                    file
                            + (e.getLocation() == null
                                    ? ""
                                    : " line " + e.getLocation().getLineNr())
                            + ": "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new InvalidInputException(file + ": can't be read");
        }
        for (var entry : tree.properties()) {
            if (!KEYS.contains(entry.getKey())) {
                throw new InvalidInputException(
                        file
                                + " "
                                + entry.getKey()
                                + ": unknown key; expected one of "
                                + String.join(", ", KEYS));
            }
        }
        List<InetSocketAddress> doors = new ArrayList<>();
        for (String door : texts(file, tree, "doors")) {
            doors.add(address(file, door));
        }
        if (doors.size() != 2 || doors.get(0).equals(doors.get(1))) {
            throw new InvalidInputException(
                    file + " doors: expected two addresses, one for each process of a hand-over");
        }
        return new SupervisorFile(
                Path.of(text(file, tree, "programs", null)),
                Path.of(text(file, tree, "operators", ".")),
                new Variant(text(file, tree, "program", null), text(file, tree, "operator", "")),
                Path.of(text(file, tree, "state", null)),
                doors,
                texts(file, tree, "options"));
    }

    private static InetSocketAddress address(Path file, String text) throws InvalidInputException {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(file + " doors: not an address: " + text);
        }
    }

    private static String text(Path file, JsonNode tree, String key, String otherwise)
            throws InvalidInputException {
        JsonNode value = tree.path(key);
        if (value.isMissingNode() && otherwise != null) {
            return otherwise;
        }
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new InvalidInputException(file + " " + key + ": expected a text");
        }
        return value.asText();
    }

    private static List<String> texts(Path file, JsonNode tree, String key)
            throws InvalidInputException {
        List<String> texts = new ArrayList<>();
        if (!tree.path(key).isMissingNode() && !tree.path(key).isArray()) {
            throw new InvalidInputException(file + " " + key + ": expected a list of texts");
        }
        for (JsonNode value : tree.path(key)) {
            if (!value.isTextual()) {
                throw new InvalidInputException(file + " " + key + ": expected a list of texts");
            }
            texts.add(value.asText());
        }
        return texts;
    }
}
