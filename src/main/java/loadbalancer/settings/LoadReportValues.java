package loadbalancer.settings;

import java.util.Arrays;
import java.util.List;
import loadbalancer.LoadReport;

/**
 * Collects the values of a load report by the names that the platform gives them. For one report
 * and one thread.
 */
public final class LoadReportValues {
    /** The names, in the order of the components of {@link LoadReport}. */
    private static final List<String> NAMES =
            List.of("cpu", "active", "waiting", "avg_ms", "rps", "err_rps");

    private static final int SERVICE_TIME = 3;
    private static final int MICROS_PER_MILLI = 1_000;

    private final double[] values = new double[NAMES.size()];

    /** Without values: all are NaN. */
    public LoadReportValues() {
        Arrays.fill(values, Double.NaN);
    }

    /** Whether a value of this name belongs to a load report. */
    public static boolean isKnown(String name) {
        return NAMES.contains(name);
    }

    /** Sets the value of that name; an unknown name is ignored. */
    public void set(String name, double value) {
        int index = NAMES.indexOf(name);
        if (index >= 0) {
            values[index] = value;
        }
    }

    /** Returns the report; its service time, which is reported in milliseconds, in microseconds. */
    public LoadReport toLoadReport() {
        return new LoadReport(
                values[0],
                values[1],
                values[2],
                values[SERVICE_TIME] * MICROS_PER_MILLI,
                values[4],
                values[5]);
    }
}
