package loadbalancer.proxy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.RequestClass;

/** What the run-time check knows of one request. Times are microseconds of the monotonic clock. */
final class RequestAudit {
    final String id;
    final RequestClass requestClass;
    final boolean secondCopies;
    final List<AttemptAudit> attempts = new ArrayList<>(1);
    private final long timeLeft;

    /** When its client's time is over; not known while its body is still arriving. */
    private long deadline = Long.MAX_VALUE;

    private boolean isClientDisconnected;
    private int responses;

    RequestAudit(String id, RequestClass requestClass, boolean secondCopies, long timeLeft) {
        this.id = id;
        this.requestClass = requestClass;
        this.secondCopies = secondCopies;
        this.timeLeft = timeLeft;
    }

    /** Its last byte has arrived: from now on its client's time counts. */
    void bodyReceived(long now) {
        deadline = now + timeLeft;
    }

    void clientDisconnected() {
        isClientDisconnected = true;
    }

    boolean isClientDisconnected() {
        return isClientDisconnected;
    }

    /** It gets a final response; returns how many it has had with that. */
    int responded() {
        return ++responses;
    }

    /** What is left of its client's time. */
    long timeLeftMicros(long now) {
        return deadline == Long.MAX_VALUE ? timeLeft : deadline - now;
    }
}
