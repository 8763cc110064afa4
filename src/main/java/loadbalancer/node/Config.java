package loadbalancer.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import loadbalancer.SettingsValidator;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.LoadedSettings;

/**
 * The balancer's configuration file: addresses, limits, the endpoint list as last known, and the
 * settings. Only a file that is valid as a whole becomes one of these; immutable.
 *
 * @param ops address of the admin endpoint; null for none
 * @param sockets descriptors that the process may use
 * @param known endpoint list to start from
 * @param keyPaths all keys of the file, by which a later file is checked for missing ones
 */
public record Config(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress ops,
        long seed,
        int sockets,
        EndpointListUpdate known,
        LoadedSettings facts,
        JsonKeyPaths keyPaths) {
    static final JsonFactory JSON = new JsonFactory();

    /**
     * The same for a balancer without peers. As one of a hundred its quota would be next to
     * nothing, and most requests of a warm-up would stay pending.
     */
    Config withoutPeers() {
        return with(facts.withSettings(facts.settings().withoutPeers()));
    }

    /** The same with other settings, which are checked already. */
    public Config with(LoadedSettings newSettings) {
        return new Config(listen, discovery, ops, seed, sockets, known, newSettings, keyPaths);
    }

    /** The same with another list to start from. */
    public Config withKnown(EndpointListUpdate other) {
        return new Config(listen, discovery, ops, seed, sockets, other, facts, keyPaths);
    }

    /**
     * Checks that settings are valid.
     *
     * @throws InvalidInputException if they are not
     */
    public static void check(LoadedSettings facts) throws InvalidInputException {
        try {
            SettingsValidator.check(facts.settings());
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(e.getMessage());
        }
        EndpointListReader.require(
                facts.classNames().stream().noneMatch(String::isEmpty)
                        && facts.classNames().stream().distinct().count()
                                == facts.classNames().size(),
                "classes.name");
    }

    /**
     * Reads and checks a file.
     *
     * @throws InvalidInputException if it is not a valid configuration
     * @throws IOException if the file can't be read
     */
    static Config read(Path file) throws InvalidInputException, IOException {
        return parse(Files.readAllBytes(file));
    }

    /**
     * The same from the file's bytes.
     *
     * @throws InvalidInputException if it is not a valid configuration
     * @throws IOException never in practice, as the bytes are in memory
     */
    public static Config parse(byte[] text) throws InvalidInputException, IOException {
        try (JsonParser json = JSON.createParser(text)) {
            return new ConfigReader(json).read(text);
        } catch (JsonProcessingException e) {
            String reason = e.getOriginalMessage().lines().findFirst().orElse("not JSON");
            throw new InvalidInputException(
                    "line "
                            + e.getLocation().getLineNr()
                            + ", column "
                            + e.getLocation().getColumnNr()
                            + ": "
                            + reason);
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(e.getMessage());
        }
    }

    /**
     * This configuration, checked against the present one.
     *
     * @throws InvalidInputException if it lacks a key that the present one has, as a partly written
     *     file does
     */
    Config reloadedOver(Config present) throws InvalidInputException {
        String missing = keyPaths.firstMissingOf(present.keyPaths);
        if (missing != null) {
            throw new InvalidInputException("field " + missing + " is missing");
        }
        return this;
    }

    /**
     * Reads {@code host:port}; there is no DNS, so the host must be an IP address.
     *
     * @throws InvalidInputException if the text is not of this form
     */
    public static InetSocketAddress address(String text) throws InvalidInputException {
        int colon = text.lastIndexOf(':');
        String hostText = text.substring(0, Math.max(colon, 0));
        InetAddress host = NetUtil.createInetAddressFromIpAddressString(hostText);
        try {
            if (host != null) {
                return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // a bad port: reported below, too
        }
        throw new InvalidInputException("not an address: " + text);
    }
}
