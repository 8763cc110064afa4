package loadbalancer.control.subscribe;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.SubscribeRequest;

/**
 * The one connection of a subscriber: which server, when to retry, how long it has been silent. For
 * one thread, by the caller's monotonic clock in nanoseconds.
 */
final class ServerConnection {
    private final SubscriberSettings settings;
    private final SubscriptionTransport transport;
    private final ServerRotation rotation;
    private final RetryBackoff backoff;
    private final long silenceTimeoutNanos;
    private long silentSinceNanos;
    private long retryAtNanos;
    private long lastReceivedNanos;
    private boolean hasReceived;
    private boolean isPaused;

    ServerConnection(
            SubscriberSettings settings, SubscriptionTransport transport, RandomGenerator random) {
        this.settings = settings;
        this.transport = transport;
        this.rotation = new ServerRotation(settings.servers(), random);
        this.backoff =
                new RetryBackoff(settings.firstRetryMillis(), settings.maxRetryMillis(), random);
        this.silenceTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(settings.silenceMillis());
    }

    int server() {
        return rotation.current();
    }

    /**
     * Opens a subscription that continues from the state in force, or starts with a snapshot if one
     * is needed.
     */
    void open(long nowNanos, AppliedState applied) {
        isPaused = false;
        silentSinceNanos = nowNanos;
        Revision revision = applied.isSnapshotNeeded() ? Revision.NONE : applied.revision();
        Digest digest = applied.isSnapshotNeeded() ? Digest.EMPTY : applied.digest();
        transport.open(
                server(),
                new SubscribeRequest(
                        settings.name(), settings.zone(), settings.scope(), revision, digest));
    }

    void close() {
        transport.close();
    }

    /** The connection has ended: the next server follows after a delay. */
    void scheduleRetry(long nowNanos, long retryAfterMillis) {
        rotation.advance();
        retryAtNanos =
                nowNanos + TimeUnit.MILLISECONDS.toNanos(backoff.nextDelayMillis(retryAfterMillis));
    }

    long nanosToRetry(long nowNanos) {
        return retryAtNanos - nowNanos;
    }

    /** A line or heartbeat was received. */
    void received(long nowNanos) {
        hasReceived = true;
        lastReceivedNanos = nowNanos;
        silentSinceNanos = nowNanos;
    }

    /** Silence counts from now on: nothing could be received while reading was paused. */
    void restartSilence(long nowNanos) {
        silentSinceNanos = nowNanos;
    }

    long nanosToSilence(long nowNanos) {
        return silentSinceNanos + silenceTimeoutNanos - nowNanos;
    }

    /**
     * Checks the silence timeout.
     *
     * @throws SubscriptionException if it has passed
     */
    void checkSilence(long nowNanos) throws SubscriptionException {
        if (nanosToSilence(nowNanos) <= 0) {
            throw new SubscriptionException(
                    "server " + server() + " was silent for " + settings.silenceMillis() + " ms");
        }
    }

    long millisSinceReceived(long nowNanos) {
        return hasReceived
                ? TimeUnit.NANOSECONDS.toMillis(nowNanos - lastReceivedNanos)
                : SubscriberStatus.NEVER_RECEIVED;
    }

    void pauseReading(boolean pause) {
        if (pause != isPaused) {
            isPaused = pause;
            transport.pauseReading(pause);
        }
    }

    /** Acknowledges the revision in force, if there is one. */
    void acknowledge(AppliedState applied) {
        if (!applied.revision().equals(Revision.NONE)) {
            transport.acknowledge(
                    server(),
                    Acknowledgement.inForce(settings.name(), applied.revision(), applied.digest()));
        }
    }

    /** Sends the rejection of an update. */
    void reject(AppliedState applied, Revision rejected, InvalidChangeException reason) {
        transport.acknowledge(
                server(),
                Acknowledgement.rejected(
                        settings.name(), applied.revision(), applied.digest(), rejected, reason));
    }

    /** An update was completed: the next retry delay is the first one again. */
    void resetBackoff() {
        backoff.reset();
    }
}
