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

    /** When its client's time is over; not known while its body is still on its way. */
    private long deadline = Long.MAX_VALUE;

    private boolean isGone;
    private int answers;

    RequestAudit(String id, RequestClass requestClass, boolean secondCopies, long timeLeft) {
        this.id = id;
        this.requestClass = requestClass;
        this.secondCopies = secondCopies;
        this.timeLeft = timeLeft;
    }

    /** Its last byte has come: from now on its client's time counts. */
    void isWhole(long now) {
        deadline = now + timeLeft;
    }

    void clientGone() {
        isGone = true;
    }

    boolean isGone() {
        return isGone;
    }

    /** It gets a final answer; returns how many it has had with that. */
    int answered() {
        return ++answers;
    }

    /** What its client has left. */
    long left(long now) {
        return deadline == Long.MAX_VALUE ? timeLeft : deadline - now;
    }
}
