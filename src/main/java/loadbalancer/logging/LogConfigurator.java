package loadbalancer.logging;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.TreeSet;
import java.util.logging.LogManager;

/**
 * Applies log settings to the process, at startup and at any later time. Thread-safe. Applying
 * {@link LogSettings#PLAIN} removes the handlers of the logging library.
 */
public final class LogConfigurator {
    private static boolean isLogbackInstalled;

    private LogConfigurator() {}

    /**
     * Applies settings to all subsequent log lines. With {@link LogSettings#PLAIN} at startup no
     * logging library is loaded, and {@code java.util.logging} prints the lines.
     *
     * @throws UncheckedIOException if the default configuration of {@code java.util.logging} can't
     *     be read again
     */
    public static synchronized void apply(LogSettings settings) {
        if (settings.equals(LogSettings.PLAIN)) {
            if (isLogbackInstalled) {
                restoreDefaults();
            }
            return;
        }
        isLogbackInstalled = true;
        if (hasFormerNames(settings)) {
            applyWithCurrentNames(settings);
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

    private static void applyWithCurrentNames(LogSettings settings) {
        LogbackSetup.apply(
                new LogSettings(
                        settings.format(),
                        settings.level(),
                        FormerLoggerNames.current(settings.levels())));
        System.Logger logger = System.getLogger(LogConfigurator.class.getName());
        for (String name : new TreeSet<>(settings.levels().keySet())) {
            if (FormerLoggerNames.isFormer(name)) {
                String current = FormerLoggerNames.current(name);
                logger.log(
                        System.Logger.Level.WARNING,
                        "log level of " + name + ": the logger is now " + current);
            }
        }
    }

    private static void restoreDefaults() {
        isLogbackInstalled = false;
        try {
            LogbackSetup.remove();
            LogManager.getLogManager().readConfiguration();
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "can't restore the default configuration of java.util.logging", e);
        }
    }
}
