package loadbalancer.faults.control.scale;

import java.util.Locale;

/**
 * One figure of a run.
 *
 * @param name of what was measured
 * @param value in the unit
 * @param unit of the value
 */
public record Measurement(String name, double value, String unit) {
    /**
     * The first line of a file of rows, in the form of the samples of {@code
     * loadbalancer.capacity}.
     */
    public static final String HEADER = "measurement,dimension,size,repetition,value,unit";

    private static final String PREFIX = "distribution.";

    /** One row of a file. */
    public String row(ScaleOptions options) {
        return String.join(
                ",",
                PREFIX + name,
                "subscribers",
                Integer.toString(options.subscribers()),
                Integer.toString(options.repetition()),
                String.format(Locale.ROOT, "%.3f", value),
                unit);
    }
}
