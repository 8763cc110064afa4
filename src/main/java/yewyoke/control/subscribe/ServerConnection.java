package yewyoke.control.subscribe;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import yewyoke.control.model.Acknowledgement;
import yewyoke.control.model.SubscribeRequest;

/** The one connection of a subscriber: which server, when to retry, how long it has been silent. */
final class ServerConnection {
    private final SubscriptionTransport transport;
    private final ServerRotation rotation;
    private final RetryBackoff backoff;
    private final long silenceNanos;
    private long silentSinceNanos;
    private long retryAtNanos;
    private long heardAtNanos;
    private boolean everHeard;
    private boolean paused;

    ServerConnection(SubscriberSettings settings, SubscriptionTransport transport, RandomGenerator random) {
        this.transport = transport;
        this.rotation = new ServerRotation(settings.servers(), random);
        this.backoff = new RetryBackoff(settings.firstRetryMillis(), settings.longestRetryMillis(), random);
        this.silenceNanos = TimeUnit.MILLISECONDS.toNanos(settings.silenceMillis());
    }

    int server() {
        return rotation.current();
    }

    void open(long nowNanos, SubscribeRequest request) {
        paused = false;
        silentSinceNanos = nowNanos;
        transport.open(server(), request);
    }

    void close() {
        transport.close();
    }

    /** The connection is given up or was ended: the next server is tried after a delay. */
    void retryLater(long nowNanos, long retryAfterMillis) {
        rotation.advance();
        retryAtNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(backoff.nextDelayMillis(retryAfterMillis));
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

    long millisSinceHeard(long nowNanos) {
        return everHeard ? TimeUnit.NANOSECONDS.toMillis(nowNanos - heardAtNanos)
                : SubscriberStatus.NEVER_HEARD;
    }

    void pauseReading(boolean pause) {
        if (pause != paused) {
            paused = pause;
            transport.pauseReading(pause);
        }
    }

    void acknowledge(Acknowledgement acknowledgement) {
        transport.acknowledge(server(), acknowledgement);
    }

    /** An update was completed: retries are quick again. */
    void resetBackoff() {
        backoff.reset();
    }
}
