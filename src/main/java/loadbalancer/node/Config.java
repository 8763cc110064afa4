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
 * The content of a balancer's configuration file: addresses, limits, an initial endpoint list and
 * the settings. Instances are immutable and exist only for files that are valid as a whole.
 *
 * @param adminAddress address of the admin endpoint; null for none
 * @param maxDescriptors number of file descriptors that the process may use
 * @param memoryMegabytes memory that the balancer may use, two processes of a hand-over together; 0
 *     if it is not limited
 * @param known endpoint list to start with
 */
public record Config(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress adminAddress,
        long seed,
        int maxDescriptors,
        int memoryMegabytes,
        EndpointListUpdate known,
        LoadedSettings facts) {
    static final JsonFactory JSON = new JsonFactory();

    /**
     * Returns a copy for a balancer without peers, for the warm-up. One of a hundred balancers that
     * share a quota may send almost nothing, and most of its warm-up requests would stay pending.
     */
    Config withoutPeers() {
        return with(facts.withSettings(facts.settings().withoutPeers()));
    }

    /** Returns a copy with other settings, which the caller has validated. */
    public Config with(LoadedSettings newSettings) {
        return new Config(
                listen,
                discovery,
                adminAddress,
                seed,
                maxDescriptors,
                memoryMegabytes,
                known,
                newSettings);
    }

    /** Returns a copy with another initial endpoint list. */
    public Config withKnown(EndpointListUpdate newList) {
        return new Config(
                listen,
                discovery,
                adminAddress,
                seed,
                maxDescriptors,
                memoryMegabytes,
                newList,
                facts);
    }

    /**
     * Validates settings, including the names of the request classes: each must be non-empty and
     * unique.
     *
     * @throws InvalidInputException if any setting or name is not valid
     */
    public static void check(LoadedSettings loaded) throws InvalidInputException {
        try {
            SettingsValidator.check(loaded.settings());
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(e.getMessage());
        }
        EndpointListReader.require(
                loaded.classNames().stream().noneMatch(String::isEmpty)
                        && loaded.classNames().stream().distinct().count()
                                == loaded.classNames().size(),
                "classes.name");
    }

    /**
     * Reads and validates a configuration file.
     *
     * @throws InvalidInputException if it is not a valid configuration
     * @throws IOException if the file can't be read
     */
    static Config read(Path file) throws InvalidInputException, IOException {
        return parse(Files.readAllBytes(file));
    }

    /**
     * Parses and validates the bytes of a configuration file.
     *
     * @throws InvalidInputException if it is not a valid configuration
     * @throws IOException never in practice, as the bytes are in memory
     */
    public static Config parse(byte[] text) throws InvalidInputException, IOException {
        try (JsonParser json = JSON.createParser(text)) {
            return new ConfigReader(json).read();
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
     * Parses {@code host:port}. The host must be an IP address, as names are not resolved.
     *
     * @throws InvalidInputException if the text has another form
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
            // An invalid port: rejected below, like an invalid host.
        }
        throw new InvalidInputException("not an IP address with a port: " + text);
    }
}
