package loadbalancer.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
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
import loadbalancer.settings.SettingsReader;

/**
 * What this balancer is told at its start: addresses, limits, the list as last held, and the
 * settings. {@code ops} is null where operators have no door. Only a file that is good as a whole
 * becomes one of these.
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
    private static final int DEFAULT_SOCKETS = 1024;

    /**
     * The same for a balancer that shares its upstreams with nobody. As one of a hundred it would
     * allow itself next to nothing in flight, and hold most of what it is asked in a rehearsal.
     */
    Config alone() {
        return with(facts.withSettings(facts.settings().withoutPeers()));
    }

    /** The same with other settings, which are checked already. */
    public Config with(LoadedSettings other) {
        return new Config(listen, discovery, ops, seed, sockets, known, other, keyPaths);
    }

    /** The same with another list to start from. */
    public Config withKnown(EndpointListUpdate other) {
        return new Config(listen, discovery, ops, seed, sockets, other, facts, keyPaths);
    }

    /** Complains about settings that no balancer can go by. */
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

    static Config read(Path file) throws InvalidInputException, IOException {
        return parse(Files.readAllBytes(file));
    }

    /** The same from the file's bytes. */
    public static Config parse(byte[] text) throws InvalidInputException, IOException {
        try (JsonParser json = JSON.createParser(text)) {
            return read(json, text);
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

    /** Complains if the file lacks a key that the present one has: it was written by halves. */
    Config after(Config present) throws InvalidInputException {
        String lacked = keyPaths.lackedOf(present.keyPaths);
        if (lacked != null) {
            throw new InvalidInputException("field " + lacked + " is missing");
        }
        return this;
    }

    private static Config read(JsonParser json, byte[] text)
            throws InvalidInputException, IOException {
        InetSocketAddress listen = null;
        InetSocketAddress discovery = null;
        InetSocketAddress ops = null;
        long seed = 0;
        int sockets = DEFAULT_SOCKETS;
        EndpointListUpdate known = EndpointListUpdate.EMPTY;
        LoadedSettings facts = null;
        if (json.nextToken() != JsonToken.START_OBJECT) {
            throw new InvalidInputException("not a JSON object");
        }
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            switch (name) {
                case "listen" -> listen = address(json.getText());
                case "discovery" -> discovery = address(json.getText());
                case "ops" -> ops = value == JsonToken.VALUE_NULL ? null : address(json.getText());
                case "seed" -> seed = seed(json.getText());
                case "limits" -> sockets = sockets(json, sockets);
                case "known" ->
                        known =
                                value == JsonToken.START_OBJECT
                                        ? EndpointListReader.read(json)
                                        : known;
                case "settings" ->
                        facts = value == JsonToken.START_OBJECT ? SettingsReader.read(json) : null;
                default -> json.skipChildren();
            }
        }
        EndpointListReader.require(listen != null, "listen");
        EndpointListReader.require(discovery != null, "discovery");
        EndpointListReader.require(facts != null, "settings");
        if (json.nextToken() != null) {
            throw new InvalidInputException("text after the end of the object");
        }
        check(facts);
        return new Config(
                listen,
                discovery,
                ops,
                seed,
                sockets,
                known,
                facts,
                JsonKeyPaths.of(text, "known"));
    }

    private static int sockets(JsonParser json, int otherwise) throws IOException {
        int sockets = otherwise;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            boolean wanted = json.currentName().equals("sockets");
            JsonToken value = json.nextToken();
            if (wanted && value.isNumeric()) {
                sockets = json.getIntValue();
            }
            json.skipChildren();
        }
        return sockets;
    }

    private static long seed(String hex) throws InvalidInputException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("field seed is not a hex number: " + hex);
        }
    }

    /** Reads {@code host:port}; there is no DNS, so the host must be an address. */
    public static InetSocketAddress address(String text) throws InvalidInputException {
        int colon = text.lastIndexOf(':');
        String name = text.substring(0, Math.max(colon, 0));
        InetAddress host = NetUtil.createInetAddressFromIpAddressString(name);
        try {
            if (host != null) {
                return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // a bad port; the one complaint below serves for it too
        }
        throw new InvalidInputException("not an address: " + text);
    }
}
