package loadbalancer.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Settings file of a control server, by convention {@code deploy/control.toml}.
 *
 * @param role whether this server accepts changes or follows a writer
 * @param name unique name of this control server
 * @param listen TCP address that subscribers and operators connect to
 * @param folder directory of a writer's change log or of a follower's last state; may be empty for
 *     a follower
 * @param upstreamServers addresses of the servers that a follower subscribes to; empty for a writer
 * @param minEpoch lower bound of a writer's epoch; 0 by default
 * @param limits limits on subscribers and on the bandwidth spent on them
 */
public record ControlFile(
        Role role,
        String name,
        String listen,
        String folder,
        List<String> upstreamServers,
        long minEpoch,
        PublishLimitsSection limits) {
    private static final List<String> KEYS =
            List.of("role", "name", "listen", "folder", "follow", "epoch", "limits");
    private static final int MAX_SERVERS = 16;
    private static final long MAX_EPOCH = 1_000_000_000_000L;

    /** Role of a control server. */
    public enum Role {
        /** Accepts changes, writes the change log and serves subscribers. */
        WRITER,
        /** Subscribes to a writer and serves subscribers. */
        FOLLOWER;

        private String key() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Reads and validates a settings file.
     *
     * @throws InvalidOperatorFileException if the file can't be read, or has an unknown key or an
     *     invalid value
     */
    public static ControlFile read(Path file) throws InvalidOperatorFileException {
        JsonNode tree = TomlFile.read(file, KEYS);
        JsonNode limits = TomlFile.section(file, tree, "limits", PublishLimitsSection.KEYS);
        SectionReader reader = new SectionReader(file, "", tree);
        Role role = role(reader);
        String name = reader.name("name");
        String listen = reader.address("listen", reader.required("listen"), 0);
        return new ControlFile(
                role,
                name,
                listen,
                folder(reader, role),
                upstreamServers(reader, role),
                minEpoch(reader, role),
                PublishLimitsSection.read(file, limits));
    }

    private static Role role(SectionReader reader) throws InvalidOperatorFileException {
        String text = reader.required("role");
        for (Role role : Role.values()) {
            if (role.key().equals(text)) {
                return role;
            }
        }
        throw reader.invalidKey("role", "expected writer or follower, got \"" + text + "\"");
    }

    private static String folder(SectionReader reader, Role role)
            throws InvalidOperatorFileException {
        return role == Role.WRITER ? reader.required("folder") : reader.text("folder");
    }

    private static List<String> upstreamServers(SectionReader reader, Role role)
            throws InvalidOperatorFileException {
        if (role == Role.WRITER) {
            reader.check(
                    !reader.has("follow"),
                    "follow",
                    "is only allowed for the role follower; this server is a writer");
            return List.of();
        }
        Set<String> servers = new LinkedHashSet<>();
        for (String server : reader.list("follow", MAX_SERVERS)) {
            reader.address("follow", server, 1);
            reader.check(servers.add(server), "follow", server + " is listed twice");
        }
        reader.check(!servers.isEmpty(), "follow", "expected at least one address");
        return List.copyOf(servers);
    }

    private static long minEpoch(SectionReader reader, Role role)
            throws InvalidOperatorFileException {
        reader.check(
                role == Role.WRITER || !reader.has("epoch"),
                "epoch",
                "is only allowed for the role writer; this server is a follower");
        return reader.integer("epoch", 0, 0, MAX_EPOCH);
    }
}
