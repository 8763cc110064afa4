package loadbalancer.faults.control.scale;

import java.util.List;

/** Quantiles of measured values. */
final class Quantiles {
    private Quantiles() {}

    /** The smallest value that so large a part of all is not above; 0 of no values. */
    static double of(List<Double> values, double part) {
        if (values.isEmpty()) {
            return 0;
        }
        List<Double> sorted = values.stream().sorted().toList();
        int place = (int) Math.ceil(part * sorted.size()) - 1;
        return sorted.get(Math.max(0, place));
    }
}
