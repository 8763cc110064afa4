package loadbalancer.faults.control.scale;

import java.util.List;

/**
 * What a run came to.
 *
 * @param measurements all figures
 * @param violations conditions that did not hold, one line each; none if all is well
 */
public record ScaleResult(List<Measurement> measurements, List<String> violations) {
    /** Copies the lists. */
    public ScaleResult {
        measurements = List.copyOf(measurements);
        violations = List.copyOf(violations);
    }
}
