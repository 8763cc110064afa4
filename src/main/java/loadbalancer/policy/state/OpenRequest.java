package loadbalancer.policy.state;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;

/** A request that a final answer is owed for, or that still is out somewhere. */
public final class OpenRequest {
    /** As it came. */
    public final RequestDescriptor request;

    /** Its class with what was learnt of that. */
    public final ClassStats classStats;

    /** Those that it came under. */
    public final LoadBalancerLimits limits;

    /** Its class. */
    public final RequestClass cls;

    /** By the order of coming. */
    public final long number;

    /** In work of a server of rating 1, microseconds. */
    public final double cost;

    /** All that were sent. */
    public final List<Attempt> attempts = new ArrayList<>(1);

    /** When its time began. */
    public long arrivedAt;

    /** When the client gives up. */
    public long deadline;

    /** Until when the answer is worth all. */
    public long aimAt;

    /** Its place among those held: worth for each unit of cost. */
    public double value;

    /** The upstream where its key is at home, or null. */
    public Endpoint home;

    /** Whether nothing is owed any more. */
    public boolean ended;

    /** Whether its answer has begun. */
    public boolean streaming;

    /** Whether it is held. */
    public boolean waiting;

    /** Whether it can't be answered within its aim any more. */
    public boolean late;

    /** Whether its body is still coming. */
    public boolean arriving;

    /** One that has just come. */
    public OpenRequest(
            RequestDescriptor request,
            ClassStats classStats,
            LoadBalancerLimits limits,
            long number,
            long now) {
        this.request = request;
        this.classStats = classStats;
        this.limits = limits;
        this.cls = classStats.cls();
        this.number = number;
        this.cost = Traffic.cost(request, classStats);
        countFrom(now);
    }

    /** Its time begins. */
    public void countFrom(long now) {
        arrivedAt = now;
        deadline = now + request.timeLeftMicros();
        long aim =
                cls.latencyObjectiveMicros()
                        + (long) (cls.objectiveWorkMultiple() * request.expectedWorkMicros());
        aimAt = Math.min(deadline, now + aim);
    }

    /** The first attempt that may have run, null if none; one still out may have. */
    public Attempt guard() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveRun) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** How many attempts are still out. */
    public int outstanding() {
        int count = 0;
        for (int i = 0; i < attempts.size(); i++) {
            count += attempts.get(i).outstanding ? 1 : 0;
        }
        return count;
    }

    /** The time of its own work where a unit takes so long; 0 without a hint. */
    public double ownService(double unit) {
        return request.expectedWorkMicros() > 0 ? cost * unit : 0;
    }
}
