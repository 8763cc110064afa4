package loadbalancer.policy;

import java.util.List;
import java.util.random.RandomGenerator;
import loadbalancer.policy.data.WeightedDraw;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;

/**
 * The pick: a weighted random draw among the endpoints of the subset.
 *
 * <p>Decides which endpoint gets a request: one that is eligible and has capacity, with a chance in
 * proportion to its score.
 *
 * <p>Inputs: {@link Subsetting}, {@link EndpointEligibility}, {@link EndpointCapacity}, {@link
 * EndpointScore}; one random number if any endpoint may take the request.
 *
 * <p>Never sends, and never decides what happens to a request that no endpoint may take.
 */
final class EndpointPicker {
    private final Subsetting subsetting;
    private final OutlierDetection outliers;
    private final EndpointEligibility eligibility;
    private final EndpointCapacity capacity;
    private final EndpointScore scores;
    private final RandomGenerator random;

    EndpointPicker(
            Subsetting subsetting,
            OutlierDetection outliers,
            EndpointEligibility eligibility,
            EndpointCapacity capacity,
            EndpointScore scores,
            RandomGenerator random) {
        this.subsetting = subsetting;
        this.outliers = outliers;
        this.eligibility = eligibility;
        this.capacity = capacity;
        this.scores = scores;
        this.random = random;
    }

    /**
     * Picks an endpoint with capacity; null if there is none now. A request whose body is still
     * arriving needs no capacity yet.
     */
    Endpoint pick(OpenRequest request, long nowMicros) {
        return draw(request, !request.isBodyIncomplete(), nowMicros);
    }

    /** Picks an endpoint for a retry, with or without capacity; null if there is none now. */
    Endpoint pickForRetry(OpenRequest request, long nowMicros) {
        return draw(request, false, nowMicros);
    }

    private Endpoint draw(OpenRequest request, boolean needsCapacity, long nowMicros) {
        boolean isPanicking = outliers.isPanicking(nowMicros);
        List<Endpoint> candidates = subsetting.candidates(request, nowMicros);
        double[] weights = new double[candidates.size()];
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            Endpoint endpoint = candidates.get(i);
            if (eligibility.isEligible(endpoint, request, isPanicking, nowMicros)
                    && (!needsCapacity || capacity.hasCapacity(endpoint, request, nowMicros))) {
                weights[i] = scores.score(endpoint, request, nowMicros);
                sum += weights[i];
            }
        }
        if (!(sum > 0)) {
            return null;
        }
        int drawn = WeightedDraw.draw(weights, sum, random.nextDouble());
        return drawn < 0 ? null : candidates.get(drawn);
    }
}
