package loadbalancer.policy.state;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;

/** A request that still needs its final response, or that has an attempt outstanding. */
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
    private boolean isConcluded;
    private boolean isResponding;
    private boolean isPending;
    private boolean isLate;
    private boolean isBodyIncomplete;

    /** Creates a request that has just arrived. */
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

    /** Returns the id of the request. */
    public String id() {
        return request.id();
    }

    /** Returns the request as it arrived. */
    public RequestDescriptor request() {
        return request;
    }

    /** Returns the measurements of the request's class. */
    public ClassStats classStats() {
        return classStats;
    }

    /** Returns the class of the request. */
    public RequestClass requestClass() {
        return classStats.requestClass();
    }

    /** Returns the limits that applied when the request arrived. */
    public LoadBalancerLimits limits() {
        return limits;
    }

    /** Returns the number of the request in the order of arrival. */
    public long sequenceNumber() {
        return sequenceNumber;
    }

    /**
     * Returns the expected work of the request, in microseconds on an endpoint of capacity weight
     * 1.
     */
    public double costMicros() {
        return costMicros;
    }

    /** Sets the arrival time, and with it the deadline and the latency objective. */
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

    /** Records that the body is still arriving, and until when it may do so. */
    public void awaitBody(long untilMicros) {
        isBodyIncomplete = true;
        deadlineMicros = untilMicros;
        objectiveAtMicros = untilMicros;
    }

    /** Records that the whole body has arrived. */
    public void markBodyComplete() {
        isBodyIncomplete = false;
    }

    /** Returns whether the body is still arriving. */
    public boolean isBodyIncomplete() {
        return isBodyIncomplete;
    }

    /**
     * Returns when the request arrived; after a body that arrived later than its head, when the
     * body was complete.
     */
    public long arrivedAtMicros() {
        return arrivedAtMicros;
    }

    /** Returns the deadline, at which the client stops waiting. */
    public long deadlineMicros() {
        return deadlineMicros;
    }

    /** Returns the time until which a response meets the latency objective. */
    public long objectiveAtMicros() {
        return objectiveAtMicros;
    }

    /** Moves the latency objective earlier. */
    public void shortenObjective(long byMicros) {
        objectiveAtMicros -= byMicros;
    }

    /**
     * Returns the priority among pending requests, as value per unit of cost; a higher one is sent
     * first.
     */
    public double priority() {
        return priority;
    }

    /**
     * Replaces the priority. Must not be called while the request is in the pending queue, which is
     * ordered by priority.
     */
    public void setPriority(double value) {
        priority = value;
    }

    /** Returns the home endpoint of the request's key, or null. */
    public Endpoint homeEndpoint() {
        return homeEndpoint;
    }

    /** Sets the home endpoint of the request's key, or null. */
    public void setHomeEndpoint(Endpoint endpoint) {
        homeEndpoint = endpoint;
    }

    /** Returns whether the request is concluded: it needs no final response any more. */
    public boolean isConcluded() {
        return isConcluded;
    }

    /** Records that the request needs no final response any more. */
    public void markConcluded() {
        isConcluded = true;
    }

    /** Returns whether the response has begun. */
    public boolean isResponding() {
        return isResponding;
    }

    /** Records that the response has begun. */
    public void markResponding() {
        isResponding = true;
    }

    /** Returns whether the request is in the pending queue. */
    boolean isPending() {
        return isPending;
    }

    void setPending(boolean pending) {
        isPending = pending;
    }

    /** Returns whether the latency objective can no longer be met. */
    public boolean isLate() {
        return isLate;
    }

    /** Records that the latency objective can no longer be met. */
    public void markLate() {
        isLate = true;
    }

    /** Adds an attempt that is being sent. */
    public Attempt startAttempt(Endpoint endpoint, long nowMicros) {
        Attempt attempt = new Attempt(endpoint, nowMicros);
        attempts.add(attempt);
        return attempt;
    }

    /** Returns the number of attempts that were sent. */
    public int attemptCount() {
        return attempts.size();
    }

    /** Returns the attempt with this index, counted from 0 in the order of sending. */
    public Attempt attempt(int index) {
        return attempts.get(index);
    }

    /** Returns whether there is an attempt with this index. */
    public boolean hasAttempt(int index) {
        return index >= 0 && index < attempts.size();
    }

    /**
     * Returns the first attempt that may have been executed, which may still be outstanding; null
     * if there is none.
     */
    public Attempt firstPossiblyExecutedAttempt() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveExecuted()) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** Returns the number of outstanding attempts. */
    public int outstandingCount() {
        int count = 0;
        for (int i = 0; i < attempts.size(); i++) {
            count += attempts.get(i).isOutstanding() ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns the service time of the request in microseconds at an endpoint that needs {@code
     * serviceTimePerWork} per microsecond of expected work; 0 without a work hint.
     */
    public double ownServiceMicros(double serviceTimePerWork) {
        return request.expectedWorkMicros() > 0 ? costMicros * serviceTimePerWork : 0;
    }
}
