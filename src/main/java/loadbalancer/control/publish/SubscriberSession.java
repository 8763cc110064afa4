package loadbalancer.control.publish;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Revision;

/**
 * The publisher's state of one admitted subscriber: its connection, its cursor and the revision it
 * has in force. Confined to the publisher's thread.
 */
final class SubscriberSession implements Subscription {
    private final String subscriber;
    private final SubscriberSink sink;
    private final UpdateCursor cursor;
    private final RateLimiter byteRate;
    private Activity activity = Activity.IDLE;
    private long lastSentNanos;
    private Revision inForce;

    /** What a session waits for. A session is in at most one queue of the {@link UpdateSender}. */
    enum Activity {
        /** The session waits for nothing, or the sender is handling it. */
        IDLE,
        /** The session waits for its turn to be sent a part. */
        READY,
        /** The session waits until its own byte rate allows more. */
        THROTTLED,
        /** The session waits until its connection is writable. */
        BLOCKED,
        /** The session has ended. */
        CLOSED
    }

    /** Creates an idle session with the revision that the subscriber has reported as in force. */
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

    /** Returns the subscriber's position in the order of changes. */
    UpdateCursor cursor() {
        return cursor;
    }

    /** Returns the limit of bytes sent to the subscriber. */
    RateLimiter byteRate() {
        return byteRate;
    }

    /** Returns the time of the last send to the subscriber, heartbeats included. */
    long lastSentNanos() {
        return lastSentNanos;
    }

    /** Returns the revision in force at the subscriber, as last acknowledged. */
    Revision inForce() {
        return inForce;
    }

    /** Returns the highest revision that may be in force at the subscriber. */
    Revision highestRevision() {
        return wasSent(inForce) ? cursor.sentRevision() : inForce;
    }

    /** Returns what the session waits for. */
    Activity activity() {
        return activity;
    }

    /** Changes what the session waits for; has no effect on a closed session. */
    void waitFor(Activity next) {
        if (!isClosed()) {
            activity = next;
        }
    }

    /** Returns whether the session has ended, so that nothing more is sent. */
    boolean isClosed() {
        return activity == Activity.CLOSED;
    }

    /** Returns whether the connection is writable now. */
    boolean isWritable() {
        return sink.isWritable();
    }

    /** Sends one line, given without its line terminator. */
    void send(long nowNanos, byte[] line) {
        lastSentNanos = nowNanos;
        sink.send(line);
    }

    /** Sends a heartbeat to the subscriber. */
    void sendHeartbeat(long nowNanos) {
        lastSentNanos = nowNanos;
        sink.heartbeat();
    }

    /** Ends the session without closing its connection. */
    void close() {
        activity = Activity.CLOSED;
    }

    /** Ends the session and closes its connection. */
    void close(String reason) {
        close();
        sink.close(reason);
    }

    /**
     * Records the revision in force. Acknowledgements of an earlier subscription are ignored; they
     * are recognized by a revision that is lower than the recorded one or that this subscription
     * was never sent.
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

    /** Returns whether an update to this revision or a later one was sent completely. */
    boolean wasSent(Revision revision) {
        Revision sent = cursor.sentRevision();
        return sent != null && !revision.isAfter(sent);
    }
}
