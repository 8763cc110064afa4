package loadbalancer.capacity;

/**
 * One measured value.
 *
 * @param measurement what was measured, such as {@code decision.idle}
 * @param dimension what the size counts, such as {@code upstreams}
 * @param repetition counted from 1
 */
public record Sample(
        String measurement,
        String dimension,
        double size,
        int repetition,
        double value,
        String unit) {}
