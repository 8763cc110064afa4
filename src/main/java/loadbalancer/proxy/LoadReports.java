package loadbalancer.proxy;

import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReport;
import loadbalancer.LoadReportSource;
import loadbalancer.settings.LoadReportValues;

/**
 * Reads the load reports of endpoints. One that can't be read counts as none, and the first such is
 * logged. Used on the event loop only.
 */
final class LoadReports {
    private static final System.Logger LOG = System.getLogger(LoadReports.class.getName());

    /** Limit of what is logged of a report, which may be of any length. */
    private static final int MAX_LOGGED_CHARS = 80;

    private boolean isReported = true;
    private boolean hasLoggedUnreadable;

    /** Reads reports only where the settings say that endpoints send any. */
    void updateSettings(LoadBalancerSettings settings) {
        isReported = settings.loadReportSource() != LoadReportSource.NONE;
    }

    /**
     * Reads {@code name=value,name=value}, with the names of the settings ({@code cpu}); others are
     * ignored. Null where nothing is reported.
     */
    LoadReport read(String text) {
        if (!isReported || text == null || text.isBlank()) {
            return null;
        }
        LoadReportValues values = new LoadReportValues();
        if (!readFields(text, values)) {
            logUnreadable(text);
            return null;
        }
        return values.toLoadReport();
    }

    /** Collects each known field; false if there is none, or one is no number. */
    private static boolean readFields(String text, LoadReportValues values) {
        boolean anyKnown = false;
        try {
            for (String field : text.trim().split(",")) {
                int equals = field.indexOf('=');
                String name = field.substring(0, Math.max(0, equals)).trim();
                if (LoadReportValues.isKnown(name)) {
                    values.set(name, Double.parseDouble(field.substring(equals + 1)));
                    anyKnown = true;
                }
            }
        } catch (NumberFormatException e) {
            return false;
        }
        return anyKnown;
    }

    private void logUnreadable(String text) {
        if (!hasLoggedUnreadable) {
            hasLoggedUnreadable = true;
            LOG.log(
                    System.Logger.Level.WARNING,
                    "ignored a load report that can't be read: " + shown(text));
        }
    }

    /** Its beginning, on one line. */
    static String shown(String text) {
        String line =
                text.substring(0, Math.min(MAX_LOGGED_CHARS, text.length()))
                        .replaceAll("\\p{Cntrl}", " ");
        return text.length() > MAX_LOGGED_CHARS ? line + "..." : line;
    }
}
