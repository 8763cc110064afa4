package loadbalancer.policy.state;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.ClassSnapshot;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;
import loadbalancer.policy.data.ExponentialSmoothing;

/** What was measured of the requests that come here: their classes, their rate, their mean cost. */
public final class Traffic {
    private static final double COST_SHARE =
            0.01; // of each request: the mean is to stay when a few are dear
    private static final double RATE_SHARE = 0.1; // of each period: some seconds count

    private ClassStats[] classStats = {};
    private long since;
    private double rate;
    private double meanCost;

    /** These classes from now on. */
    public void take(List<RequestClass> classes) {
        ClassStats[] old = classStats;
        classStats = classes.stream().map(c -> new ClassStats(c, old)).toArray(ClassStats[]::new);
    }

    /** The class in this place. */
    public ClassStats classStats(int index) {
        return classStats[index];
    }

    /** One has come. */
    public void count(double cost) {
        meanCost = ExponentialSmoothing.into(meanCost, cost, COST_SHARE);
        since++;
    }

    /** So many microseconds have passed since the last time. */
    public void measure(long period) {
        rate += RATE_SHARE * (since * 1e6 / period - rate);
        since = 0;
    }

    /** Requests a second. */
    public double rate() {
        return rate;
    }

    /** The mean of what they cost, in microseconds of work; 0 before the first. */
    public double meanCost() {
        return meanCost;
    }

    /** What a request costs, as far as its hint or its class tells; never 0. */
    public static double cost(RequestDescriptor request, ClassStats stats) {
        return request.expectedWorkMicros() > 0
                ? request.expectedWorkMicros()
                : stats.took() > 0 ? stats.took() : 1;
    }

    /** A request in mean requests, by its hint; 1 without one. */
    public double size(OpenRequest r) {
        return r.request.expectedWorkMicros() > 0 ? r.cost / Math.max(meanCost, 1) : 1;
    }

    /** What the classes have learnt. */
    public List<ClassSnapshot> classes() {
        List<ClassSnapshot> classes = new ArrayList<>();
        for (ClassStats stats : classStats) {
            classes.add(stats.memory());
        }
        return classes;
    }

    /** Takes over rate and cost where nothing was learnt; {@code left} of the rate is believed. */
    public void recall(LoadBalancerSnapshot memory, double left) {
        meanCost = meanCost == 0 ? memory.requestCostMicros() : meanCost;
        rate = memory.requestsPerSecond() * left;
    }

    /** Takes over what classes had learnt, where these have learnt nothing. */
    public void recall(List<ClassSnapshot> classes) {
        for (ClassStats stats : classStats) {
            for (ClassSnapshot c : classes) {
                stats.recall(c);
            }
        }
    }
}
