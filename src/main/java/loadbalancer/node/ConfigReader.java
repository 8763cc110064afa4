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
 * skipped.
 */
final class ConfigReader {
    private static final int DEFAULT_MAX_DESCRIPTORS = 1024;

    private final JsonParser json;
    private InetSocketAddress listen;
    private InetSocketAddress discovery;
    private InetSocketAddress adminAddress;
    private long seed;
    private int maxDescriptors = DEFAULT_MAX_DESCRIPTORS;
    private int memoryMegabytes;
    private EndpointListUpdate known = EndpointListUpdate.EMPTY;
    private LoadedSettings settings;

    /** Creates a reader; the parser must be at the start of its text. */
    ConfigReader(JsonParser json) {
        this.json = json;
    }

    /**
     * Reads and validates the whole file.
     *
     * @param text the bytes that the parser was created for
     * @throws InvalidInputException if a key is missing or a value is not valid
     * @throws IOException if the text is not JSON
     */
    Config read(byte[] text) throws InvalidInputException, IOException {
        if (json.nextToken() != JsonToken.START_OBJECT) {
            throw new InvalidInputException("the configuration is not a JSON object");
        }
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            readValue(name, json.nextToken());
        }
        EndpointListReader.require(listen != null, "listen");
        EndpointListReader.require(discovery != null, "discovery");
        EndpointListReader.require(settings != null, "settings");
        if (json.nextToken() != null) {
            throw new InvalidInputException("text follows the end of the JSON object");
        }
        Config.check(settings);
        JsonKeyPaths keyPaths = JsonKeyPaths.of(text, "known");
        return new Config(
                listen,
                discovery,
                adminAddress,
                seed,
                maxDescriptors,
                memoryMegabytes,
                known,
                settings,
                keyPaths);
    }

    private void readValue(String name, JsonToken value) throws InvalidInputException, IOException {
        switch (name) {
            case "listen" -> listen = Config.address(json.getText());
            case "discovery" -> discovery = Config.address(json.getText());
            case "ops" ->
                    adminAddress =
                            value == JsonToken.VALUE_NULL ? null : Config.address(json.getText());
            case "seed" -> seed = seed(json.getText());
            case "limits" -> readLimits();
            case "known" ->
                    known = value == JsonToken.START_OBJECT ? EndpointListReader.read(json) : known;
            case "settings" ->
                    settings = value == JsonToken.START_OBJECT ? SettingsReader.read(json) : null;
            default -> json.skipChildren();
        }
    }

    private void readLimits() throws IOException {
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
