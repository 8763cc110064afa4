package loadbalancer.control.publish;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Revision;

/**
 * One admitted subscriber: its connection, its cursor and the revision in force there. For the
 * publisher's thread.
 */
final class SubscriberSession implements Subscription {
    private final String subscriber;
    private final SubscriberSink sink;
    private final UpdateCursor cursor;
    private final RateLimiter byteRate;
    private Activity activity = Activity.IDLE;
    private long lastSentNanos;
    private Revision inForce;

    /** What a session waits for. It is in at most one queue of the {@link UpdateSender}. */
    enum Activity {
        /** Nothing, or the sender is handling it. */
        IDLE,
        /** Its turn. */
        READY,
        /** Its own byte rate. */
        THROTTLED,
        /** Its connection to take more. */
        BLOCKED,
        /** Nothing any more. */
        CLOSED
    }

    /** Starts idle, with the revision that the subscriber says is in force there. */
    SubscriberSession(
            long nowNanos,
            String subscriber,
            SubscriberSink sink,
            UpdateCursor cursor,
            RateLimiter byteRate,
            Revision inForce) {
        this.subscriber = subscriber;
        this.sink = sink;
        this.cursor = cursor;
        this.byteRate = byteRate;
        this.lastSentNanos = nowNanos;
        this.inForce = inForce;
    }

    @Override
    public String subscriber() {
        return subscriber;
    }

    /** Its position in the order of changes. */
    UpdateCursor cursor() {
        return cursor;
    }

    /** The limit of bytes sent to it. */
    RateLimiter byteRate() {
        return byteRate;
    }

    /** When something was last sent to it. */
    long lastSentNanos() {
        return lastSentNanos;
    }

    /** The revision in force there, as far as it has been acknowledged. */
    Revision inForce() {
        return inForce;
    }

    /** The highest revision that may be in force at the subscriber. */
    Revision highestRevision() {
        return wasSent(inForce) ? cursor.sentRevision() : inForce;
    }

    /** What it waits for. */
    Activity activity() {
        return activity;
    }

    /** Changes what it waits for; once closed it stays so. */
    void waitFor(Activity next) {
        if (!isClosed()) {
            activity = next;
        }
    }

    /** Whether nothing more is sent to it. */
    boolean isClosed() {
        return activity == Activity.CLOSED;
    }

    /** Whether its connection takes more now. */
    boolean isWritable() {
        return sink.isWritable();
    }

    /** Sends one line. */
    void send(long nowNanos, byte[] line) {
        lastSentNanos = nowNanos;
        sink.send(line);
    }

    /** Sends a heartbeat. */
    void sendHeartbeat(long nowNanos) {
        lastSentNanos = nowNanos;
        sink.heartbeat();
    }

    /** Ends it without a call to its connection. */
    void close() {
        activity = Activity.CLOSED;
    }

    /** Ends it and its connection. */
    void close(String reason) {
        close();
        sink.close(reason);
    }

    /**
     * Records the revision in force. Acknowledgements of an earlier subscription are ignored: they
     * are for less than is known already, or for more than this one was ever sent.
     *
     * @return whether the acknowledgement belongs to this subscription
     */
    boolean acknowledge(Acknowledgement acknowledgement) {
        Revision acknowledged = acknowledgement.inForce();
        boolean isOlder = inForce.isAfter(acknowledged);
        boolean isUnknown = acknowledged.isAfter(inForce) && !wasSent(acknowledged);
        if (isOlder || isUnknown) {
            return false;
        }
        inForce = acknowledged;
        return true;
    }

    /** Whether an update that leads to this revision or beyond it was sent completely. */
    boolean wasSent(Revision revision) {
        Revision sent = cursor.sentRevision();
        return sent != null && !revision.isAfter(sent);
    }
}
