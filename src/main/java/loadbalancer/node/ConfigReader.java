package loadbalancer.node;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.LoadedSettings;
import loadbalancer.settings.SettingsReader;

/**
 * Reads one configuration file from JSON. An instance is used once, by one thread. Unknown keys are
 * skipped. A file without a required key is not valid, at a start and at a reload alike.
 */
final class ConfigReader {
    private static final int DEFAULT_MAX_DESCRIPTORS = 1024;

    private final JsonParser json;
    private InetSocketAddress listen;
    private InetSocketAddress discovery;
    private InetSocketAddress adminAddress;

    /** Null until the field is read, like the required objects below. */
    private Long seed;

    private int maxDescriptors = DEFAULT_MAX_DESCRIPTORS;
    private int memoryMegabytes;
    private EndpointListUpdate known;
    private LoadedSettings settings;

    /** Creates a reader; the parser must be at the start of its text. */
    ConfigReader(JsonParser json) {
        this.json = json;
    }

    /**
     * Reads and validates the whole file.
     *
     * @throws InvalidInputException if a key is missing or a value is not valid
     * @throws IOException if the text is not JSON
     */
    Config read() throws InvalidInputException, IOException {
        if (json.nextToken() != JsonToken.START_OBJECT) {
            throw new InvalidInputException("the configuration is not a JSON object");
        }
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            readValue(name, json.nextToken());
        }
        EndpointListReader.require(listen != null, "listen");
        EndpointListReader.require(discovery != null, "discovery");
        EndpointListReader.require(seed != null, "seed");
        EndpointListReader.require(known != null, "known");
        EndpointListReader.require(settings != null, "settings");
        if (json.nextToken() != null) {
            throw new InvalidInputException("text follows the end of the JSON object");
        }
        Config.check(settings);
        return new Config(
                listen,
                discovery,
                adminAddress,
                seed,
                maxDescriptors,
                memoryMegabytes,
                known,
                settings);
    }

    private void readValue(String name, JsonToken value) throws InvalidInputException, IOException {
        switch (name) {
            case "listen" -> listen = Config.address(json.getText());
            case "discovery" -> discovery = Config.address(json.getText());
            case "ops" ->
                    adminAddress =
                            value == JsonToken.VALUE_NULL ? null : Config.address(json.getText());
            case "seed" -> seed = seed(json.getText());
            case "limits" -> readLimits(value);
            case "known" -> known = known(value);
            case "settings" ->
                    settings =
                            value == JsonToken.START_OBJECT
                                    ? SettingsReader.readComplete(json, name)
                                    : null;
            default -> json.skipChildren();
        }
    }

    /** Returns the initial list; null, as if the key were missing, for a value of another type. */
    private EndpointListUpdate known(JsonToken value) throws InvalidInputException, IOException {
        return switch (value) {
            case START_OBJECT -> EndpointListReader.read(json);
            case VALUE_NULL -> EndpointListUpdate.EMPTY;
            default -> null;
        };
    }

    private void readLimits(JsonToken start) throws InvalidInputException, IOException {
        if (start == JsonToken.VALUE_NULL) {
            return;
        }
        EndpointListReader.require(start == JsonToken.START_OBJECT, "limits");
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (name.equals("sockets") && value.isNumeric()) {
                maxDescriptors = json.getIntValue();
            } else if (name.equals("memory_mb") && value.isNumeric()) {
                memoryMegabytes = json.getIntValue();
            }
            json.skipChildren();
        }
    }

    private static long seed(String hex) throws InvalidInputException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException(
                    "field \"seed\" is not a hexadecimal number of at most 64 bits: " + hex);
        }
    }
}
