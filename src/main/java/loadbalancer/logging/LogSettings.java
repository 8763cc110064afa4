package loadbalancer.logging;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * How to log: the form of a line, the level, and levels by package or class where they differ.
 *
 * @param levels from the name of a package or class to its level
 */
public record LogSettings(Format format, String level, Map<String, String> levels) {
    /** What a level may be, from the most lines to none. */
    public static final List<String> LEVELS =
            List.of("trace", "debug", "info", "warn", "error", "off");

    /** The plain lines of a balancer that nobody has told otherwise. */
    public static final LogSettings PLAIN = new LogSettings(Format.PLAIN, "info", Map.of());

    /** Forms of a line. */
    public enum Format {
        /** Level and message, no library loaded. */
        PLAIN,
        /** Time, level, thread, logger and message. */
        TEXT,
        /** One JSON object a line. */
        JSON;

        /**
         * By its name in a file.
         *
         * @throws IllegalArgumentException if there is none of that name
         */
        public static Format of(String name) {
            for (Format f : values()) {
                if (f.name().toLowerCase(Locale.ROOT).equals(name)) {
                    return f;
                }
            }
            throw new IllegalArgumentException("expected plain, text or json, got " + name);
        }
    }

    /**
     * Checks the levels.
     *
     * @throws IllegalArgumentException if one is none of {@link #LEVELS}; the message names it
     */
    public LogSettings {
        require(level);
        levels.values().forEach(LogSettings::require);
        levels = Map.copyOf(levels);
    }

    private static void require(String level) {
        if (!LEVELS.contains(level)) {
            throw new IllegalArgumentException(
                    "expected one of " + String.join(", ", LEVELS) + ", got " + level);
        }
    }

    /** From a command line: each of {@code levels} is a level for all or {@code package=level}. */
    public static LogSettings of(String format, List<String> levels) {
        String all = "info";
        Map<String, String> byName = new TreeMap<>();
        for (String one : levels) {
            int equals = one.indexOf('=');
            if (equals < 0) {
                all = one;
            } else {
                byName.put(one.substring(0, equals), one.substring(equals + 1));
            }
        }
        return new LogSettings(Format.of(format), all, byName);
    }
}
