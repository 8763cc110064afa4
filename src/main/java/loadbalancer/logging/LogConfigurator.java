package loadbalancer.logging;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.TreeSet;
import java.util.logging.LogManager;

/**
 * Applies log settings to the process, also again while it runs. Any thread may call; {@link
 * LogSettings#PLAIN} releases the logging library's handlers.
 */
public final class LogConfigurator {
    private static boolean isLogbackInstalled;

    private LogConfigurator() {}

    /**
     * Applies settings to all lines from now on. Plain lines at the start load no logging library:
     * {@code java.util.logging} prints them.
     *
     * @throws UncheckedIOException if the runtime's own log configuration can't be read again
     */
    public static synchronized void apply(LogSettings settings) {
        if (settings.equals(LogSettings.PLAIN)) {
            if (isLogbackInstalled) {
                restore();
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

    private static void restore() {
        isLogbackInstalled = false;
        try {
            LogbackSetup.remove();
            LogManager.getLogManager().readConfiguration();
        } catch (IOException e) {
            throw new UncheckedIOException("can't go back to plain lines", e);
        }
    }
}
