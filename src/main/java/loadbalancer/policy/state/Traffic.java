package loadbalancer.policy.state;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.ClassSnapshot;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;
import loadbalancer.policy.data.ExponentialSmoothing;

/** Measurements of the requests that arrive here: their classes, their rate and their mean cost. */
public final class Traffic {
    /** Per request; small, so that a few expensive requests hardly move the mean. */
    private static final double COST_SMOOTHING = 0.01;

    /** Per measuring period. */
    private static final double RATE_SMOOTHING = 0.1;

    private static final double MICROS_PER_SECOND = 1e6;

    private ClassStats[] classStats = {};
    private long arrivalsInPeriod;
    private double requestsPerSecond;
    private double meanCostMicros;

    /** Replaces the classes; measurements stay with a class of the same name. */
    public void updateClasses(List<RequestClass> classes) {
        ClassStats[] earlier = classStats;
        classStats =
                classes.stream()
                        .map(requestClass -> new ClassStats(requestClass, earlier))
                        .toArray(ClassStats[]::new);
    }

    /** The class with this index. */
    public ClassStats classStats(int index) {
        return classStats[index];
    }

    /** Records an arrival. */
    public void recordArrival(double costMicros) {
        meanCostMicros = ExponentialSmoothing.smooth(meanCostMicros, costMicros, COST_SMOOTHING);
        arrivalsInPeriod++;
    }

    /** Ends a measuring period of this length. */
    public void endPeriod(long periodMicros) {
        requestsPerSecond +=
                RATE_SMOOTHING
                        * (arrivalsInPeriod * MICROS_PER_SECOND / periodMicros - requestsPerSecond);
        arrivalsInPeriod = 0;
    }

    /** Smoothed rate of arrivals. */
    public double requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Smoothed cost of a request in microseconds of work; 0 before the first. */
    public double meanCostMicros() {
        return meanCostMicros;
    }

    /** Expected work of a request, by its hint or else by its class, in microseconds; above 0. */
    public static double costMicros(RequestDescriptor request, ClassStats stats) {
        if (request.expectedWorkMicros() > 0) {
            return request.expectedWorkMicros();
        }
        return stats.typicalResponseMicros() > 0 ? stats.typicalResponseMicros() : 1;
    }

    /** A request's cost in mean requests, by its hint; 1 without one. */
    public double relativeCost(OpenRequest request) {
        return request.request().expectedWorkMicros() > 0
                ? request.costMicros() / Math.max(meanCostMicros, 1)
                : 1;
    }

    /** The measurements of the classes, for a later instance. */
    public List<ClassSnapshot> exportClasses() {
        List<ClassSnapshot> classes = new ArrayList<>();
        for (ClassStats stats : classStats) {
            classes.add(stats.export());
        }
        return classes;
    }

    /** Takes over an earlier instance's rate, reduced by {@code rateFactor}, and its mean cost. */
    public void restoreRates(LoadBalancerSnapshot saved, double rateFactor) {
        meanCostMicros = meanCostMicros == 0 ? saved.requestCostMicros() : meanCostMicros;
        requestsPerSecond = saved.requestsPerSecond() * rateFactor;
    }

    /** Takes over an earlier instance's measurements of classes that have none here. */
    public void restoreClasses(List<ClassSnapshot> savedClasses) {
        for (ClassStats stats : classStats) {
            for (ClassSnapshot saved : savedClasses) {
                stats.restore(saved);
            }
        }
    }
}
