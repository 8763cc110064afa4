package loadbalancer.policy;

import java.util.List;
import java.util.random.RandomGenerator;
import loadbalancer.policy.data.WeightedDraw;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;

/**
 * The pick: a weighted random choice among the endpoints of the subset.
 *
 * <p>Chooses one of the endpoints that are eligible and have capacity, with a probability in
 * proportion to its {@link EndpointScore}. Uses {@link Subsetting}, {@link EndpointEligibility} and
 * {@link EndpointCapacity}, and draws one random number if any endpoint may take the request.
 *
 * <p>Does not send the request, nor decide what happens if no endpoint may take it.
 */
final class EndpointPicker {
    private final Subsetting subsetting;
    private final OutlierDetection outliers;
    private final EndpointEligibility eligibility;
    private final EndpointCapacity capacity;
    private final EndpointScore score;
    private final RandomGenerator random;

    EndpointPicker(
            Subsetting subsetting,
            OutlierDetection outliers,
            EndpointEligibility eligibility,
            EndpointCapacity capacity,
            EndpointScore score,
            RandomGenerator random) {
        this.subsetting = subsetting;
        this.outliers = outliers;
        this.eligibility = eligibility;
        this.capacity = capacity;
        this.score = score;
        this.random = random;
    }

    /**
     * Picks an endpoint with capacity; returns null if there is none now. A request whose body is
     * still arriving needs no capacity yet.
     */
    Endpoint pick(OpenRequest request, long nowMicros) {
        return draw(request, !request.isBodyIncomplete(), nowMicros);
    }

    /**
     * Picks an endpoint for a retry, whether or not it has capacity; returns null if there is none
     * now.
     */
    Endpoint pickForRetry(OpenRequest request, long nowMicros) {
        return draw(request, false, nowMicros);
    }

    private Endpoint draw(OpenRequest request, boolean needsCapacity, long nowMicros) {
        boolean isPanicMode = outliers.isPanicMode(nowMicros);
        List<Endpoint> candidates = subsetting.candidates(request, nowMicros);
        double[] weights = new double[candidates.size()];
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            Endpoint endpoint = candidates.get(i);
            if (eligibility.isEligible(endpoint, request, isPanicMode, nowMicros)
                    && (!needsCapacity || capacity.hasCapacity(endpoint, request, nowMicros))) {
                weights[i] = score.score(endpoint, request, nowMicros);
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
