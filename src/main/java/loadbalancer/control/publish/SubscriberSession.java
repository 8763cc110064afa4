package loadbalancer.control.publish;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Revision;

/** One admitted subscriber: its connection, its cursor and what is in force there. */
final class SubscriberSession implements Subscription {
    private final String subscriber;
    private final SubscriberSink sink;
    private final UpdateCursor cursor;
    private final RateLimiter byteRate;
    private Activity activity = Activity.IDLE;
    private long heardAtNanos;
    private Revision inForce;

    /** What a session waits for. It is in at most one queue of the {@link UpdateSender}. */
    enum Activity {
        /** Nothing to send, or it is being looked at. */
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

    /** Starts idle, with what the subscriber says it holds. */
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
        this.heardAtNanos = nowNanos;
        this.inForce = inForce;
    }

    @Override
    public String subscriber() {
        return subscriber;
    }

    /** Where it stands. */
    UpdateCursor cursor() {
        return cursor;
    }

    /** The limit of bytes sent to it. */
    RateLimiter byteRate() {
        return byteRate;
    }

    /** When it last heard something. */
    long heardAtNanos() {
        return heardAtNanos;
    }

    /** The revision in force there, as far as it has said. */
    Revision inForce() {
        return inForce;
    }

    /** The highest revision that the subscriber may hold. */
    Revision highestRevision() {
        return wasTold(inForce) ? cursor.told() : inForce;
    }

    /** What it waits for. */
    Activity activity() {
        return activity;
    }

    /** It waits for something else now; once closed it stays so. */
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
        heardAtNanos = nowNanos;
        sink.send(line);
    }

    /** Sends a heartbeat. */
    void sendHeartbeat(long nowNanos) {
        heardAtNanos = nowNanos;
        sink.heartbeat();
    }

    /** The caller ends it, and needs not be told. */
    void close() {
        activity = Activity.CLOSED;
    }

    /** Ends it and its connection. */
    void close(String reason) {
        close();
        sink.close(reason);
    }

    /**
     * Takes note of what is in force. Of no use are acknowledgements of an earlier subscription:
     * they tell of less than is known already, or of more than this one was ever sent.
     *
     * @return whether the acknowledgement belongs to this subscription
     */
    boolean acknowledge(Acknowledgement acknowledgement) {
        Revision acknowledged = acknowledgement.inForce();
        boolean isOlder = inForce.isAfter(acknowledged);
        boolean isUnknown = acknowledged.isAfter(inForce) && !wasTold(acknowledged);
        if (isOlder || isUnknown) {
            return false;
        }
        inForce = acknowledged;
        return true;
    }

    /** Whether an update that leads to this revision or beyond it was sent whole. */
    boolean wasTold(Revision revision) {
        Revision told = cursor.told();
        return told != null && !revision.isAfter(told);
    }
}
