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
 * A balancer's operator file: settings that the platform's configuration does not cover. The
 * environment variable {@code NODE_OPERATOR} has the path of the file, which by convention is
 * {@code deploy/operator.toml}.
 *
 * @param log format and levels of the log
 * @param stateFolder directory of the snapshots; empty if the file does not set it
 * @param fleet fleet membership; absent for a standalone balancer
 * @param control subscription to control servers; absent if only the local configuration is used
 */
public record OperatorFile(
        LogSettings log,
        String stateFolder,
        Optional<FleetSettings> fleet,
        Optional<ControlSubscription> control) {
    private static final List<String> SECTIONS = List.of("log", "state", "fleet", "control");
    private static final List<String> LOG_KEYS = List.of("format", "level", "levels");

    /**
     * Reads and validates an operator file.
     *
     * @throws InvalidOperatorFileException if the file can't be read, or has an unknown key or an
     *     invalid value
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
