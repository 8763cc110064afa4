package loadbalancer.settings;

import static loadbalancer.settings.TomlFile.section;
import static loadbalancer.settings.TomlFile.text;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import loadbalancer.logging.LogSettings;

/**
 * The operator's settings file of a balancer, {@code deploy/operator.toml} by custom and named by
 * {@code NODE_OPERATOR}: settings that the platform's configuration has no place for.
 *
 * @param log format and levels of the log
 * @param stateFolder where snapshots are stored; empty if nothing is said
 * @param fleet membership of a fleet; empty for a balancer by itself
 * @param control subscription to control servers; empty for the local configuration alone
 */
public record OperatorFile(
        LogSettings log,
        String stateFolder,
        Optional<FleetSettings> fleet,
        Optional<ControlSubscription> control) {
    private static final List<String> SECTIONS = List.of("log", "state", "fleet", "control");
    private static final List<String> LOG_KEYS = List.of("format", "level", "levels");

    /**
     * Reads and checks a file.
     *
     * @throws InvalidOperatorFileException if it can't be read, or a key is unknown or invalid
     */
    public static OperatorFile read(Path file) throws InvalidOperatorFileException {
        JsonNode tree = TomlFile.read(file, SECTIONS);
        JsonNode log = section(file, tree, "log", LOG_KEYS);
        JsonNode state = section(file, tree, "state", List.of("folder"));
        JsonNode fleet = section(file, tree, "fleet", FleetSettings.KEYS);
        JsonNode control = section(file, tree, "control", ControlSubscription.KEYS);
        return new OperatorFile(
                log(file, log),
                text(file, "state.folder", state.path("folder"), ""),
                fleet.isMissingNode()
                        ? Optional.empty()
                        : Optional.of(FleetSettings.read(file, fleet)),
                control.isMissingNode()
                        ? Optional.empty()
                        : Optional.of(ControlSubscription.read(file, control)));
    }

    private static LogSettings log(Path file, JsonNode log) throws InvalidOperatorFileException {
        Map<String, String> levels = new TreeMap<>();
        for (var entry : log.path("levels").properties()) {
            levels.put(
                    entry.getKey(),
                    text(file, "log.levels." + entry.getKey(), entry.getValue(), ""));
        }
        String format = text(file, "log.format", log.path("format"), "plain");
        String level = text(file, "log.level", log.path("level"), "info");
        try {
            return new LogSettings(LogSettings.Format.of(format), level, levels);
        } catch (IllegalArgumentException e) {
            throw new InvalidOperatorFileException(file + " [log]", e.getMessage());
        }
    }
}
