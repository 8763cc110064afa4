package loadbalancer.capacity;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A curve through samples by least squares, and how far they lie from it.
 *
 * @param intercept of a line, the value at size 0; of a power law, the value at size 1
 * @param slope of a line, the value for one more; of a power law, the exponent
 * @param residual root of the mean square of the deviations: of a line, relative to the mean value;
 *     of a power law, of the natural logarithms, so that 0.1 is about a tenth
 * @param least the smallest size that was measured
 * @param greatest the largest size that was measured
 */
public record Fit(
        Form form, double intercept, double slope, double residual, double least, double greatest) {
    /** Beyond so many times the largest size a curve says little. */
    public static final double FURTHEST = 10;

    /** How the value grows with the size. */
    public enum Form {
        /** value = intercept + slope * size. */
        LINEAR,
        /** value = intercept * size ^ slope, a straight line in logarithms. */
        POWER
    }

    static Fit of(Form form, List<Sample> samples) {
        SimpleRegression regression = new SimpleRegression();
        for (Sample sample : samples) {
            regression.addData(scaled(form, sample.size()), scaled(form, sample.value()));
        }
        double deviation = Math.sqrt(regression.getSumSquaredErrors() / samples.size());
        double mean = samples.stream().mapToDouble(Sample::value).average().orElseThrow();
        double least = samples.stream().mapToDouble(Sample::size).min().orElseThrow();
        double greatest = samples.stream().mapToDouble(Sample::size).max().orElseThrow();
        boolean linear = form == Form.LINEAR;
        double intercept = linear ? regression.getIntercept() : Math.exp(regression.getIntercept());
        return new Fit(
                form,
                intercept,
                regression.getSlope(),
                linear ? deviation / mean : deviation,
                least,
                greatest);
    }

    private static double scaled(Form form, double value) {
        if (form == Form.LINEAR) {
            return value;
        }
        if (!(value > 0)) {
            throw new BadPage("a power law through a value that is not positive: " + value);
        }
        return Math.log(value);
    }

    /** The curve's value at a size; refused where that lies too far beyond what was measured. */
    public double at(double size) {
        if (size > FURTHEST * greatest) {
            throw new BadPage(
                    "extrapolated from "
                            + greatest
                            + " to "
                            + size
                            + "; say so by extrapolated_linear or extrapolated_power");
        }
        return extrapolated(size);
    }

    /** The curve's value at any size. */
    public double extrapolated(double size) {
        return form == Form.LINEAR ? intercept + slope * size : intercept * Math.pow(size, slope);
    }
}
