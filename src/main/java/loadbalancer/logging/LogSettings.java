package loadbalancer.logging;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Log settings: line format, default level, and levels of single packages or classes. Immutable.
 *
 * @param format line format
 * @param level level of all loggers without a level of their own
 * @param levels levels by the name of a package or class
 */
public record LogSettings(Format format, String level, Map<String, String> levels) {
    /** Valid levels, from the most verbose to none. */
    public static final List<String> LEVELS =
            List.of("trace", "debug", "info", "warn", "error", "off");

    /** Default settings: plain lines at level info. */
    public static final LogSettings PLAIN = new LogSettings(Format.PLAIN, "info", Map.of());

    /** Line formats. */
    public enum Format {
        /** Lines with level and message; does not load a logging library by itself. */
        PLAIN,
        /** Lines with time, level, thread, logger and message. */
        TEXT,
        /** One JSON object per line. */
        JSON;

        /**
         * Returns the format with this name in a settings file or on a command line.
         *
         * @throws IllegalArgumentException if the name is unknown
         */
        public static Format of(String name) {
            for (Format format : values()) {
                if (format.name().toLowerCase(Locale.ROOT).equals(name)) {
                    return format;
                }
            }
            throw new IllegalArgumentException("expected plain, text or json, got " + name);
        }
    }

    /**
     * Creates settings.
     *
     * @throws IllegalArgumentException if a level is not one of {@link #LEVELS}; the message names
     *     it
     */
    public LogSettings {
        requireKnown(level);
        levels.values().forEach(LogSettings::requireKnown);
        levels = Map.copyOf(levels);
    }

    private static void requireKnown(String level) {
        if (!LEVELS.contains(level)) {
            throw new IllegalArgumentException(
                    "expected one of " + String.join(", ", LEVELS) + ", got " + level);
        }
    }

    /**
     * Returns the settings of a command line.
     *
     * @param format name of the line format
     * @param levels entries of the form {@code level}, for all loggers, or {@code package=level}
     * @throws IllegalArgumentException if the format or a level is unknown
     */
    public static LogSettings of(String format, List<String> levels) {
        String defaultLevel = PLAIN.level();
        Map<String, String> levelByName = new TreeMap<>();
        for (String entry : levels) {
            int equals = entry.indexOf('=');
            if (equals < 0) {
                defaultLevel = entry;
            } else {
                levelByName.put(entry.substring(0, equals), entry.substring(equals + 1));
            }
        }
        return new LogSettings(Format.of(format), defaultLevel, levelByName);
    }
}
