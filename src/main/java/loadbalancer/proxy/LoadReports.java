package loadbalancer.proxy;

import java.util.Arrays;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReport;
import loadbalancer.LoadReportSource;
import loadbalancer.settings.SettingsReader;

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
        double[] values = new double[SettingsReader.REPORTED.size()];
        Arrays.fill(values, Double.NaN);
        if (!readFields(text, values)) {
            logUnreadable(text);
            return null;
        }
        return new LoadReport(
                values[0], values[1], values[2], values[3] * 1_000, values[4], values[5]);
    }

    /** Reads each known field into its place; false if there is none, or one is no number. */
    private static boolean readFields(String text, double[] values) {
        boolean anyKnown = false;
        try {
            for (String field : text.trim().split(",")) {
                int equals = field.indexOf('=');
                String name = field.substring(0, Math.max(0, equals)).trim();
                int place = SettingsReader.REPORTED.indexOf(name);
                if (place >= 0) {
                    values[place] = Double.parseDouble(field.substring(equals + 1));
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
