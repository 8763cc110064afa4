package loadbalancer.logging;

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
        LogbackSetup.apply(settings);
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
