package loadbalancer.settings;

import java.util.Arrays;
import java.util.List;
import loadbalancer.LoadReport;

/**
 * Builds a load report from values by the platform's names for them. Use one instance per report;
 * not thread-safe.
 */
public final class LoadReportValues {
    /** Names of the values, in the order of the components of {@link LoadReport}. */
    private static final List<String> NAMES =
            List.of("cpu", "active", "waiting", "avg_ms", "rps", "err_rps");

    private static final int SERVICE_TIME_INDEX = 3;
    private static final int MICROS_PER_MILLI = 1_000;

    private final double[] values = new double[NAMES.size()];

    /** Creates a builder in which all values are NaN. */
    public LoadReportValues() {
        Arrays.fill(values, Double.NaN);
    }

    /** Returns whether a load report has a value of this name. */
    public static boolean isKnown(String name) {
        return NAMES.contains(name);
    }

    /** Sets the value of this name; an unknown name is ignored. */
    public void set(String name, double value) {
        int index = NAMES.indexOf(name);
        if (index >= 0) {
            values[index] = value;
        }
    }

    /** Returns the report, with the service time converted from milliseconds to microseconds. */
    public LoadReport toLoadReport() {
        return new LoadReport(
                values[0],
                values[1],
                values[2],
                values[SERVICE_TIME_INDEX] * MICROS_PER_MILLI,
                values[4],
                values[5]);
    }
}
