package loadbalancer.proxy;

import java.util.Arrays;
import loadbalancer.LoadReport;
import loadbalancer.settings.SettingsReader;

/**
 * Reads upstreams' reports of their load; one that can't be read is none, and the first such is
 * logged.
 */
final class LoadReports {
    private static final System.Logger LOG = System.getLogger(LoadReports.class.getName());

    /** So much of a report is shown: more than its fields need, and a body may be of any length. */
    private static final int SHOWN = 80;

    private boolean badLogged;

    /**
     * Reads {@code name=value,name=value}; null where nothing is reported. The names are those of
     * the settings ({@code cpu}). Under others each report came out empty and weights never moved,
     * unseen.
     */
    LoadReport read(String text) {
        if (text == null || text.isBlank()) {
            return null;
        }
        double[] r = new double[SettingsReader.REPORTED.size()];
        Arrays.fill(r, Double.NaN);
        boolean understood = false;
        try {
            for (String field : text.trim().split(",")) {
                int equals = field.indexOf('=');
                int place =
                        SettingsReader.REPORTED.indexOf(
                                field.substring(0, Math.max(0, equals)).trim());
                if (place >= 0) {
                    r[place] = Double.parseDouble(field.substring(equals + 1));
                    understood = true;
                }
            }
        } catch (NumberFormatException e) {
            understood = false;
        }
        if (!understood && !badLogged) {
            badLogged = true;
            LOG.log(
                    System.Logger.Level.WARNING,
                    "ignored a load report that can't be read: " + shown(text));
        }
        return understood ? new LoadReport(r[0], r[1], r[2], r[3] * 1_000, r[4], r[5]) : null;
    }

    /** Its beginning, on one line. */
    static String shown(String text) {
        String line =
                text.substring(0, Math.min(SHOWN, text.length())).replaceAll("\\p{Cntrl}", " ");
        return text.length() > SHOWN ? line + "..." : line;
    }
}
