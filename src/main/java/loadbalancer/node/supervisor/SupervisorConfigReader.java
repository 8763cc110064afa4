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
 * Reads and checks the supervisor's configuration file, in TOML. Each error message names the key.
 */
final class SupervisorConfigReader {
    /** One address for each process of a hand-over. */
    private static final int ADMIN_ADDRESS_COUNT = 2;

    private final Path file;
    private final JsonNode tree;

    private SupervisorConfigReader(Path file, JsonNode tree) {
        this.file = file;
        this.tree = tree;
    }

    /**
     * Reads and checks a configuration file.
     *
     * @throws InvalidInputException if the file can't be read or is invalid
     */
    static SupervisorConfig read(Path file) throws InvalidInputException {
        return new SupervisorConfigReader(file, parseToml(file)).toConfig();
    }

    private static JsonNode parseToml(Path file) throws InvalidInputException {
        try {
            return new TomlMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            String line = e.getLocation() == null ? "" : " line " + e.getLocation().getLineNr();
            throw new InvalidInputException(
                    file + line + ": " + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new InvalidInputException(file + ": can't be read");
        }
    }

    private SupervisorConfig toConfig() throws InvalidInputException {
        requireKnownKeys();
        List<InetSocketAddress> adminAddresses = adminAddresses();
        return new SupervisorConfig(
                Path.of(requireString(SupervisorFieldNames.PROGRAMS)),
                Path.of(optionalString(SupervisorFieldNames.OPERATOR_FILES, ".")),
                new Variant(
                        requireString(SupervisorFieldNames.INITIAL_PROGRAM),
                        optionalString(SupervisorFieldNames.INITIAL_OPERATOR_FILE, "")),
                Path.of(requireString(SupervisorFieldNames.STATE_FOLDER)),
                adminAddresses,
                optionalStrings(SupervisorFieldNames.JAVA_OPTIONS));
    }

    private void requireKnownKeys() throws InvalidInputException {
        for (var entry : tree.properties()) {
            if (!SupervisorFieldNames.ALL.contains(entry.getKey())) {
                throw invalid(
                        entry.getKey(),
                        "unknown key; expected one of "
                                + String.join(", ", SupervisorFieldNames.ALL));
            }
        }
    }

    private List<InetSocketAddress> adminAddresses() throws InvalidInputException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : optionalStrings(SupervisorFieldNames.ADMIN_ADDRESSES)) {
            addresses.add(address(text));
        }
        if (addresses.size() != ADMIN_ADDRESS_COUNT || addresses.get(0).equals(addresses.get(1))) {
            throw invalid(
                    SupervisorFieldNames.ADMIN_ADDRESSES,
                    "expected two different addresses, one for each process of a hand-over");
        }
        return addresses;
    }

    private InetSocketAddress address(String text) throws InvalidInputException {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw invalid(
                    SupervisorFieldNames.ADMIN_ADDRESSES,
                    "expected an address in the form host:port, found " + text);
        }
    }

    private String optionalString(String key, String defaultValue) throws InvalidInputException {
        return tree.has(key) ? requireString(key) : defaultValue;
    }

    private String requireString(String key) throws InvalidInputException {
        JsonNode value = tree.path(key);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw invalid(key, "expected a non-empty string");
        }
        return value.asText();
    }

    private List<String> optionalStrings(String key) throws InvalidInputException {
        List<String> texts = new ArrayList<>();
        JsonNode list = tree.path(key);
        if (!list.isMissingNode() && !list.isArray()) {
            throw invalid(key, "expected a list of strings");
        }
        for (JsonNode value : list) {
            if (!value.isTextual()) {
                throw invalid(key, "expected a list of strings");
            }
            texts.add(value.asText());
        }
        return texts;
    }

    private InvalidInputException invalid(String key, String reason) {
        return new InvalidInputException(file + " " + key + ": " + reason);
    }
}
