package loadbalancer.proxy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.RequestClass;

/** Records one request for {@link SendAudit}. Times are in microseconds of the monotonic clock. */
final class RequestAudit {
    final String id;
    final RequestClass requestClass;
    final boolean isHedgingAllowed;
    final List<AttemptAudit> attempts = new ArrayList<>(1);

    /** Time that the client waits after its last byte. */
    private final long timeLeftMicros;

    /** Deadline of the client; the maximum value while the body is still arriving. */
    private long deadlineMicros = Long.MAX_VALUE;

    private boolean isClientDisconnected;
    private int responses;

    RequestAudit(
            String id, RequestClass requestClass, boolean isHedgingAllowed, long timeLeftMicros) {
        this.id = id;
        this.requestClass = requestClass;
        this.isHedgingAllowed = isHedgingAllowed;
        this.timeLeftMicros = timeLeftMicros;
    }

    /** Starts the deadline, which counts from the arrival of the last byte. */
    void bodyReceived(long nowMicros) {
        deadlineMicros = nowMicros + timeLeftMicros;
    }

    void clientDisconnected() {
        isClientDisconnected = true;
    }

    boolean isClientDisconnected() {
        return isClientDisconnected;
    }

    /** Counts a final response, and returns the number of final responses so far. */
    int responded() {
        return ++responses;
    }

    /** Returns the time until the client's deadline; negative once it has passed. */
    long timeLeftMicros(long nowMicros) {
        return deadlineMicros == Long.MAX_VALUE ? timeLeftMicros : deadlineMicros - nowMicros;
    }
}
