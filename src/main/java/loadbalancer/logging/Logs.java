package loadbalancer.logging;

import java.util.TreeSet;
import java.util.logging.LogManager;

/** Puts log settings into force; callable again at any time. */
public final class Logs {
    private static boolean library;

    private Logs() {}

    /**
     * From now on all lines are logged so. With plain lines and nothing else before, no logging
     * library is loaded: {@code java.util.logging}, which the runtime has anyway, prints them.
     */
    public static synchronized void use(LogSettings settings) {
        if (settings.equals(LogSettings.PLAIN)) {
            if (library) {
                restore();
            }
            return;
        }
        library = true;
        if (hasFormerNames(settings)) {
            useCurrentNames(settings);
        } else {
            LogbackSetup.apply(settings);
        }
    }

    private static boolean hasFormerNames(LogSettings settings) {
        for (String name : settings.levels().keySet()) {
            if (FormerLoggerNames.isFormer(name)) {
                return true;
            }
        }
        return false;
    }

    private static void useCurrentNames(LogSettings settings) {
        LogbackSetup.apply(
                new LogSettings(
                        settings.format(),
                        settings.level(),
                        FormerLoggerNames.current(settings.levels())));
        System.Logger log = System.getLogger(Logs.class.getName());
        for (String name : new TreeSet<>(settings.levels().keySet())) {
            if (FormerLoggerNames.isFormer(name)) {
                String current = FormerLoggerNames.current(name);
                log.log(
                        System.Logger.Level.WARNING,
                        "log level of " + name + ": the logger is now " + current);
            }
        }
    }

    private static void restore() {
        library = false;
        try {
            LogbackSetup.remove();
            LogManager.getLogManager().readConfiguration();
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException("can't go back to plain lines", e);
        }
    }
}
