package loadbalancer.capacity;

import java.util.List;
import java.util.function.Predicate;

/** Samples to be asked for by measurement, dimension and size. */
public final class Samples {
    /** Fewer sizes than that make no slope. */
    private static final int LEAST_SIZES = 3;

    private final List<Sample> all;

    /** These. */
    public Samples(List<Sample> all) {
        this.all = List.copyOf(all);
    }

    /** The mean over the repetitions at a size that was measured. */
    public double mean(String measurement, String dimension, double size) {
        return at(measurement, dimension, size).stream()
                .mapToDouble(Sample::value)
                .average()
                .orElseThrow();
    }

    /** The greatest of the repetitions at a size that was measured. */
    public double worst(String measurement, String dimension, double size) {
        return at(measurement, dimension, size).stream()
                .mapToDouble(Sample::value)
                .max()
                .orElseThrow();
    }

    /** Fits a line through all sizes and repetitions. */
    public Fit fit(Fit.Form form, String measurement, String dimension) {
        List<Sample> found = find(measurement, dimension, s -> true);
        if (found.stream().mapToDouble(Sample::size).distinct().count() < LEAST_SIZES) {
            throw new BadPage(
                    "fewer than " + LEAST_SIZES + " sizes of " + measurement + " by " + dimension);
        }
        return Fit.of(form, found);
    }

    private List<Sample> at(String measurement, String dimension, double size) {
        List<Sample> found = find(measurement, dimension, s -> s.size() == size);
        if (found.isEmpty()) {
            throw new BadPage("no " + measurement + " by " + dimension + " at " + size);
        }
        return found;
    }

    private List<Sample> find(String measurement, String dimension, Predicate<Sample> which) {
        return all.stream()
                .filter(s -> s.measurement().equals(measurement))
                .filter(s -> s.dimension().equals(dimension))
                .filter(which)
                .toList();
    }
}
