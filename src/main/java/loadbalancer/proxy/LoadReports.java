package loadbalancer.proxy;

import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReport;
import loadbalancer.LoadReportSource;
import loadbalancer.settings.LoadReportValues;

/**
 * Parses the load reports of endpoints. An invalid report is ignored, and the first one is logged.
 * Used on the event loop only.
 */
final class LoadReports {
    private static final System.Logger LOG = System.getLogger(LoadReports.class.getName());

    /** Number of characters of a report that are logged; reports may be of any length. */
    private static final int MAX_LOGGED_CHARS = 80;

    private boolean isReported = true;
    private boolean hasLoggedInvalid;

    /** Enables parsing only if the settings say that endpoints send load reports. */
    void updateSettings(LoadBalancerSettings settings) {
        isReported = settings.loadReportSource() != LoadReportSource.NONE;
    }

    /**
     * Parses {@code name=value,name=value}. Names are those of the settings, such as {@code cpu};
     * unknown names are ignored.
     *
     * @return the report; null if it is absent or invalid, or if load reports are disabled
     */
    LoadReport read(String text) {
        if (!isReported || text == null || text.isBlank()) {
            return null;
        }
        LoadReportValues values = new LoadReportValues();
        if (!readFields(text, values)) {
            logInvalid(text);
            return null;
        }
        return values.toLoadReport();
    }

    /** Reads the known fields; returns false if there is none or a value is not a number. */
    private static boolean readFields(String text, LoadReportValues values) {
        boolean hasKnownField = false;
        try {
            for (String field : text.trim().split(",")) {
                int equals = field.indexOf('=');
                String name = field.substring(0, Math.max(0, equals)).trim();
                if (LoadReportValues.isKnown(name)) {
                    values.set(name, Double.parseDouble(field.substring(equals + 1)));
                    hasKnownField = true;
                }
            }
        } catch (NumberFormatException e) {
            return false;
        }
        return hasKnownField;
    }

    private void logInvalid(String text) {
        if (!hasLoggedInvalid) {
            hasLoggedInvalid = true;
            LOG.log(
                    System.Logger.Level.WARNING,
                    "ignoring an invalid load report, expected NAME=NUMBER[,NAME=NUMBER...] with at"
                            + " least one known name: "
                            + abbreviate(text));
        }
    }

    /** Returns the beginning of a text with control characters replaced by blanks. */
    static String abbreviate(String text) {
        String line =
                text.substring(0, Math.min(MAX_LOGGED_CHARS, text.length()))
                        .replaceAll("\\p{Cntrl}", " ");
        return text.length() > MAX_LOGGED_CHARS ? line + "..." : line;
    }
}
