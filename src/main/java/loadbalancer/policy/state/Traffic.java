package loadbalancer.policy.state;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.ClassSnapshot;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;
import loadbalancer.policy.data.ExponentialSmoothing;

/**
 * Statistics of the requests that arrive at this balancer: their classes, their rate and their mean
 * cost.
 */
public final class Traffic {
    /**
     * Smoothing factor per request; small, so that a few expensive requests hardly change the mean.
     */
    private static final double COST_SMOOTHING = 0.01;

    /** Smoothing factor per measurement period. */
    private static final double RATE_SMOOTHING = 0.1;

    private static final double MICROS_PER_SECOND = 1e6;

    private ClassStats[] classStats = {};
    private long arrivalsInPeriod;
    private double requestsPerSecond;
    private double meanCostMicros;

    /**
     * Replaces the classes. A class keeps its measurements if the new classes include one with the
     * same name.
     */
    public void updateClasses(List<RequestClass> classes) {
        ClassStats[] earlier = classStats;
        classStats =
                classes.stream()
                        .map(requestClass -> new ClassStats(requestClass, earlier))
                        .toArray(ClassStats[]::new);
    }

    /** Returns the statistics of the class with this index. */
    public ClassStats classStats(int index) {
        return classStats[index];
    }

    /** Records the arrival of a request with this cost. */
    public void recordArrival(double costMicros) {
        meanCostMicros = ExponentialSmoothing.smooth(meanCostMicros, costMicros, COST_SMOOTHING);
        arrivalsInPeriod++;
    }

    /** Ends a measurement period of this length. */
    public void endPeriod(long periodMicros) {
        requestsPerSecond +=
                RATE_SMOOTHING
                        * (arrivalsInPeriod * MICROS_PER_SECOND / periodMicros - requestsPerSecond);
        arrivalsInPeriod = 0;
    }

    /** Returns the smoothed rate of arrivals. */
    public double requestsPerSecond() {
        return requestsPerSecond;
    }

    /**
     * Returns the smoothed cost of a request in microseconds of work; 0 before the first request.
     */
    public double meanCostMicros() {
        return meanCostMicros;
    }

    /**
     * Returns the expected work of a request in microseconds, from its hint or otherwise from its
     * class; above 0.
     */
    public static double costMicros(RequestDescriptor request, ClassStats stats) {
        if (request.expectedWorkMicros() > 0) {
            return request.expectedWorkMicros();
        }
        return stats.typicalResponseMicros() > 0 ? stats.typicalResponseMicros() : 1;
    }

    /** Returns a request's cost in mean requests according to its work hint; 1 without a hint. */
    public double relativeCost(OpenRequest request) {
        return request.request().expectedWorkMicros() > 0
                ? request.costMicros() / Math.max(meanCostMicros, 1)
                : 1;
    }

    /** Returns the measurements of the classes, for a later instance. */
    public List<ClassSnapshot> exportClasses() {
        List<ClassSnapshot> classes = new ArrayList<>();
        for (ClassStats stats : classStats) {
            classes.add(stats.export());
        }
        return classes;
    }

    /**
     * Restores the rate of an earlier instance, reduced by {@code rateFactor}, and its mean cost.
     */
    public void restoreRates(LoadBalancerSnapshot saved, double rateFactor) {
        meanCostMicros = meanCostMicros == 0 ? saved.requestCostMicros() : meanCostMicros;
        requestsPerSecond = saved.requestsPerSecond() * rateFactor;
    }

    /** Restores the measurements of an earlier instance for classes that have none here. */
    public void restoreClasses(List<ClassSnapshot> savedClasses) {
        for (ClassStats stats : classStats) {
            for (ClassSnapshot saved : savedClasses) {
                stats.restore(saved);
            }
        }
    }
}
