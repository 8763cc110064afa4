package loadbalancer.control.subscribe;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.SubscribeRequest;

/**
 * Manages the connection of a subscriber: the choice of the server, the retry delay and the silence
 * timeout. Not thread-safe; times are the caller's monotonic clock in nanoseconds.
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
     * Opens a subscription that continues from the state in force, or requests a snapshot if one is
     * needed.
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

    /** Schedules an attempt with the next server, after the connection has ended. */
    void scheduleRetry(long nowNanos, long retryAfterMillis) {
        rotation.advance();
        retryAtNanos =
                nowNanos + TimeUnit.MILLISECONDS.toNanos(backoff.nextDelayMillis(retryAfterMillis));
    }

    long nanosToRetry(long nowNanos) {
        return retryAtNanos - nowNanos;
    }

    /** Records that a line or heartbeat was received. */
    void received(long nowNanos) {
        hasReceived = true;
        lastReceivedNanos = nowNanos;
        silentSinceNanos = nowNanos;
    }

    /** Restarts the silence timeout, because nothing could be received while reading was paused. */
    void restartSilenceTimeout(long nowNanos) {
        silentSinceNanos = nowNanos;
    }

    long nanosToSilenceTimeout(long nowNanos) {
        return silentSinceNanos + silenceTimeoutNanos - nowNanos;
    }

    /**
     * Checks the silence timeout.
     *
     * @throws SubscriptionException if the timeout has expired
     */
    void checkSilence(long nowNanos) throws SubscriptionException {
        if (nanosToSilenceTimeout(nowNanos) <= 0) {
            throw new SubscriptionException(
                    "server " + server() + " sent nothing for " + settings.silenceMillis() + " ms");
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

    /** Acknowledges the revision in force; sends nothing before the first update. */
    void acknowledge(AppliedState applied) {
        if (!applied.revision().equals(Revision.NONE)) {
            transport.acknowledge(
                    server(),
                    Acknowledgement.inForce(settings.name(), applied.revision(), applied.digest()));
        }
    }

    /** Sends a rejection of the update to {@code rejected}. */
    void reject(AppliedState applied, Revision rejected, InvalidChangeException reason) {
        transport.acknowledge(
                server(),
                Acknowledgement.rejected(
                        settings.name(), applied.revision(), applied.digest(), rejected, reason));
    }

    /** Resets the retry delay, after an update was completed. */
    void resetBackoff() {
        backoff.reset();
    }
}
