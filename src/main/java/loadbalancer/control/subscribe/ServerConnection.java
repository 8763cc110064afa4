package loadbalancer.control.subscribe;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.SubscribeRequest;

/** The one connection of a subscriber: which server, when to retry, how long it has been silent. */
final class ServerConnection {
    private final SubscriberSettings settings;
    private final SubscriptionTransport transport;
    private final ServerRotation rotation;
    private final RetryBackoff backoff;
    private final long silenceNanos;
    private long silentSinceNanos;
    private long retryAtNanos;
    private long heardAtNanos;
    private boolean everHeard;
    private boolean paused;

    ServerConnection(
            SubscriberSettings settings, SubscriptionTransport transport, RandomGenerator random) {
        this.settings = settings;
        this.transport = transport;
        this.rotation = new ServerRotation(settings.servers(), random);
        this.backoff =
                new RetryBackoff(
                        settings.firstRetryMillis(), settings.longestRetryMillis(), random);
        this.silenceNanos = TimeUnit.MILLISECONDS.toNanos(settings.silenceMillis());
    }

    int server() {
        return rotation.current();
    }

    /**
     * Opens a subscription that goes on from what is held, or begins with a snapshot if that is
     * needed.
     */
    void open(long nowNanos, HeldState held) {
        paused = false;
        silentSinceNanos = nowNanos;
        Revision revision = held.isSnapshotNeeded() ? Revision.NONE : held.revision();
        Digest digest = held.isSnapshotNeeded() ? Digest.EMPTY : held.digest();
        transport.open(
                server(),
                new SubscribeRequest(
                        settings.name(), settings.zone(), settings.scope(), revision, digest));
    }

    void close() {
        transport.close();
    }

    /** The connection is given up or was ended: the next server is tried after a delay. */
    void retryLater(long nowNanos, long retryAfterMillis) {
        rotation.advance();
        retryAtNanos =
                nowNanos + TimeUnit.MILLISECONDS.toNanos(backoff.nextDelayMillis(retryAfterMillis));
    }

    long nanosToRetry(long nowNanos) {
        return retryAtNanos - nowNanos;
    }

    /** Something came from the server. */
    void heard(long nowNanos) {
        everHeard = true;
        heardAtNanos = nowNanos;
        silentSinceNanos = nowNanos;
    }

    /** Silence counts from now on: nothing could be heard while reading was paused. */
    void restartSilence(long nowNanos) {
        silentSinceNanos = nowNanos;
    }

    long nanosToSilence(long nowNanos) {
        return silentSinceNanos + silenceNanos - nowNanos;
    }

    void checkSilence(long nowNanos) throws SubscriptionException {
        if (nanosToSilence(nowNanos) <= 0) {
            throw new SubscriptionException(
                    "server " + server() + " was silent for " + settings.silenceMillis() + " ms");
        }
    }

    long millisSinceHeard(long nowNanos) {
        return everHeard
                ? TimeUnit.NANOSECONDS.toMillis(nowNanos - heardAtNanos)
                : SubscriberStatus.NEVER_HEARD;
    }

    void pauseReading(boolean pause) {
        if (pause != paused) {
            paused = pause;
            transport.pauseReading(pause);
        }
    }

    /** Tells the server what is in force; nothing if nothing is. */
    void acknowledge(HeldState held) {
        if (!held.revision().equals(Revision.NONE)) {
            transport.acknowledge(
                    server(),
                    Acknowledgement.inForce(settings.name(), held.revision(), held.digest()));
        }
    }

    /** Tells the server that an update was refused. */
    void reject(HeldState held, Revision refused, InvalidChangeException reason) {
        transport.acknowledge(
                server(),
                Acknowledgement.rejected(
                        settings.name(), held.revision(), held.digest(), refused, reason));
    }

    /** An update was completed: retries are quick again. */
    void resetBackoff() {
        backoff.reset();
    }
}
