package loadbalancer.policy.state;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;

/** A request that awaits its final response, or that has an attempt outstanding. */
public final class OpenRequest {
    private final RequestDescriptor request;
    private final ClassStats classStats;
    private final LoadBalancerLimits limits;
    private final long sequenceNumber;
    private final double costMicros;
    private final List<Attempt> attempts = new ArrayList<>(1);

    private long arrivedAtMicros;
    private long deadlineMicros;
    private long objectiveAtMicros;
    private double priority;
    private Endpoint homeEndpoint;
    private boolean isEnded;
    private boolean isResponding;
    private boolean isPending;
    private boolean isLate;
    private boolean isBodyIncomplete;

    /** Creates one that has just arrived. */
    public OpenRequest(
            RequestDescriptor request,
            ClassStats classStats,
            LoadBalancerLimits limits,
            long sequenceNumber,
            long nowMicros) {
        this.request = request;
        this.classStats = classStats;
        this.limits = limits;
        this.sequenceNumber = sequenceNumber;
        costMicros = Traffic.costMicros(request, classStats);
        startClock(nowMicros);
    }

    /** Its id. */
    public String id() {
        return request.id();
    }

    /** The request as it arrived. */
    public RequestDescriptor request() {
        return request;
    }

    /** The measurements of its class. */
    public ClassStats classStats() {
        return classStats;
    }

    /** Its class. */
    public RequestClass requestClass() {
        return classStats.requestClass();
    }

    /** The limits that applied when it arrived. */
    public LoadBalancerLimits limits() {
        return limits;
    }

    /** Its number in the order of arrival. */
    public long sequenceNumber() {
        return sequenceNumber;
    }

    /** Its expected work, in microseconds of an endpoint of capacity weight 1. */
    public double costMicros() {
        return costMicros;
    }

    /** Starts its clock: arrival, deadline and latency objective follow from now. */
    void startClock(long nowMicros) {
        arrivedAtMicros = nowMicros;
        deadlineMicros = nowMicros + request.timeLeftMicros();
        RequestClass requestClass = requestClass();
        long objectiveMicros =
                requestClass.latencyObjectiveMicros()
                        + (long)
                                (requestClass.objectiveWorkMultiple()
                                        * request.expectedWorkMicros());
        objectiveAtMicros = Math.min(deadlineMicros, nowMicros + objectiveMicros);
    }

    /** Records that its body is still arriving, and until when it may do so. */
    public void awaitBody(long untilMicros) {
        isBodyIncomplete = true;
        deadlineMicros = untilMicros;
        objectiveAtMicros = untilMicros;
    }

    /** Records that its whole body has arrived. */
    public void markBodyComplete() {
        isBodyIncomplete = false;
    }

    /** Whether its body is still arriving. */
    public boolean isBodyIncomplete() {
        return isBodyIncomplete;
    }

    /** When its clock started. */
    public long arrivedAtMicros() {
        return arrivedAtMicros;
    }

    /** When the client stops waiting. */
    public long deadlineMicros() {
        return deadlineMicros;
    }

    /** Until when a response meets the latency objective. */
    public long objectiveAtMicros() {
        return objectiveAtMicros;
    }

    /** Moves the latency objective earlier. */
    public void shortenObjective(long byMicros) {
        objectiveAtMicros -= byMicros;
    }

    /** Its priority among pending requests, per unit of cost; higher is served first. */
    public double priority() {
        return priority;
    }

    /** Replaces the priority; not while it is in the pending queue, which is ordered by it. */
    public void setPriority(double value) {
        priority = value;
    }

    /** The endpoint where its key has affinity, or null. */
    public Endpoint homeEndpoint() {
        return homeEndpoint;
    }

    /** Sets the endpoint where its key has affinity, or null. */
    public void setHomeEndpoint(Endpoint endpoint) {
        homeEndpoint = endpoint;
    }

    /** Whether nothing is owed to the client any more. */
    public boolean isEnded() {
        return isEnded;
    }

    /** Records that nothing is owed to the client any more. */
    public void markEnded() {
        isEnded = true;
    }

    /** Whether its response has begun. */
    public boolean isResponding() {
        return isResponding;
    }

    /** Records that its response has begun. */
    public void markResponding() {
        isResponding = true;
    }

    /** Whether it is in the pending queue. */
    boolean isPending() {
        return isPending;
    }

    void setPending(boolean pending) {
        isPending = pending;
    }

    /** Whether its latency objective can no longer be met. */
    public boolean isLate() {
        return isLate;
    }

    /** Records that its latency objective can no longer be met. */
    public void markLate() {
        isLate = true;
    }

    /** Adds an attempt that is being sent. */
    public Attempt startAttempt(Endpoint endpoint, long nowMicros) {
        Attempt attempt = new Attempt(endpoint, nowMicros);
        attempts.add(attempt);
        return attempt;
    }

    /** How many attempts were sent. */
    public int attemptCount() {
        return attempts.size();
    }

    /** The attempt with this index, from 0 in the order of sending. */
    public Attempt attempt(int index) {
        return attempts.get(index);
    }

    /** Whether there is an attempt with this index. */
    public boolean hasAttempt(int index) {
        return index >= 0 && index < attempts.size();
    }

    /** The first attempt that may have run, an outstanding one included; null if none. */
    public Attempt firstThatMayHaveRun() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveRun()) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** How many attempts are outstanding. */
    public int outstandingCount() {
        int count = 0;
        for (int i = 0; i < attempts.size(); i++) {
            count += attempts.get(i).isOutstanding() ? 1 : 0;
        }
        return count;
    }

    /**
     * Its own service time in microseconds, at an endpoint that needs {@code serviceTimePerWork}
     * for each microsecond of expected work; 0 without a hint of its work.
     */
    public double ownServiceMicros(double serviceTimePerWork) {
        return request.expectedWorkMicros() > 0 ? costMicros * serviceTimePerWork : 0;
    }
}
